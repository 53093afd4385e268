package lemondeal.resume;

import java.util.ArrayList;
import java.util.List;

/**
 * The accepted keys, and which of them, the present key, signs new tokens. Another accepted key is an earlier one, or
 * one that other proxies already sign with. Never empty.
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

  /** Returns the key with this id, or null. */
  public Key find(String id) {
    return find(keys, id);
  }

  public Key presentKey() {
    return find(presentId);
  }

  /** Adds a key that is accepted but does not sign tokens yet. */
  public KeyRing withKey(Key key) {
    if (find(key.id()) != null) {
      throw new IllegalArgumentException("a key with the id " + key.id() + " already exists");
    }
    List<Key> extended = new ArrayList<>(keys);
    extended.add(key);
    return new KeyRing(presentId, extended);
  }

  /** Signs new tokens with this key from now on. */
  public KeyRing withPresentKey(String id) {
    if (find(id) == null) {
      throw new IllegalArgumentException("no key has the id " + id);
    }
    return new KeyRing(id, keys);
  }

  /** Removes a key: its tokens are no longer accepted. The present key can't be removed. */
  public KeyRing withoutKey(String id) {
    if (find(id) == null) {
      throw new IllegalArgumentException("no key has the id " + id);
    }
    if (id.equals(presentId)) {
      throw new IllegalArgumentException("key " + id + " is the present one; use another first");
    }
    return new KeyRing(presentId, keys.stream().filter(key -> !key.id().equals(id)).toList());
  }
}
