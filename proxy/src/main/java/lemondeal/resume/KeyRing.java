package lemondeal.resume;

import java.util.ArrayList;
import java.util.List;

/**
 * The keys that are accepted, and the one among them with which tokens are made. An accepted key that is not the present
 * one may be an earlier one, or one that other proxies already use. Never empty.
 */
public record KeyRing(String present, List<Key> keys) {

  public KeyRing {
    keys = List.copyOf(keys);
    if (find(keys, present) == null) {
      throw new IllegalArgumentException("the present key " + present + " is not among the keys");
    }
  }

  private static Key find(List<Key> keys, String id) {
    for (Key key : keys) {
      if (key.id().equals(id)) {
        return key;
      }
    }
    return null;
  }

  /** The key of this id, or null. */
  public Key find(String id) {
    return find(keys, id);
  }

  public Key presentKey() {
    return find(present);
  }

  /** With one more key, which is accepted but not used yet. */
  public KeyRing with(Key key) {
    if (find(key.id()) != null) {
      throw new IllegalArgumentException("there is a key " + key.id() + " already");
    }
    List<Key> more = new ArrayList<>(keys);
    more.add(key);
    return new KeyRing(present, more);
  }

  /** Makes tokens with this key from now on. */
  public KeyRing using(String id) {
    if (find(id) == null) {
      throw new IllegalArgumentException("there is no key " + id);
    }
    return new KeyRing(id, keys);
  }

  /** Without this key: its tokens are accepted no more. The present one can't go. */
  public KeyRing without(String id) {
    if (find(id) == null) {
      throw new IllegalArgumentException("there is no key " + id);
    }
    if (id.equals(present)) {
      throw new IllegalArgumentException("key " + id + " is the present one; use another first");
    }
    return new KeyRing(present, keys.stream().filter(key -> !key.id().equals(id)).toList());
  }
}
