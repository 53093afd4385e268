package lemondeal.resume;

import java.time.Instant;

/**
 * A secret that authenticates tokens.
 *
 * @param id written into each token, so that the key that signed it is found
 * @param createdAt when the key was generated
 * @param secret never printed or logged
 */
public record Key(String id, Instant createdAt, byte[] secret) {
  /** Length of a secret: that of the hash function's output, as RFC 2104 recommends. */
  public static final int SECRET_BYTES = 32;

  @Override
  public String toString() {
    return "key " + id;
  }
}
