package lemondeal.resume;

import java.util.ArrayList;
import java.util.List;

/**
 * The keys that are accepted, and the one among them with which tokens are made. An accepted key that is not the present
 * one may be an earlier one, or one that other proxies already use. Never empty.
 */
public record KeyRing(String presentId, List<Key> keys) {

  public KeyRing {
    keys = List.copyOf(keys);
    if (find(keys, presentId) == null) {
      throw new IllegalArgumentException("the present key " + presentId + " is not among the keys");
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
    return find(presentId);
  }

  /** With one more key, which is accepted but not used yet. */
  public KeyRing withKey(Key key) {
    if (find(key.id()) != null) {
      throw new IllegalArgumentException("there is a key " + key.id() + " already");
    }
    List<Key> extended = new ArrayList<>(keys);
    extended.add(key);
    return new KeyRing(presentId, extended);
  }

  /** Makes tokens with this key from now on. */
  public KeyRing withPresentKey(String id) {
    if (find(id) == null) {
      throw new IllegalArgumentException("there is no key " + id);
    }
    return new KeyRing(id, keys);
  }

  /** Without this key: its tokens are accepted no more. The present one can't go. */
  public KeyRing withoutKey(String id) {
    if (find(id) == null) {
      throw new IllegalArgumentException("there is no key " + id);
    }
    if (id.equals(presentId)) {
      throw new IllegalArgumentException("key " + id + " is the present one; use another first");
    }
    return new KeyRing(presentId, keys.stream().filter(key -> !key.id().equals(id)).toList());
  }
}
