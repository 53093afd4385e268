package lemondeal.resume;

import java.time.Instant;

/**
 * One secret with which tokens are authenticated.
 *
 * @param id stands beside the token, so that earlier keys are found
 * @param made when it was made
 * @param secret never shown, never logged
 */
public record Key(String id, Instant createdAt, byte[] secret) {
  /** Bytes of a secret: those of the digest, as RFC 2104 advises. */
  public static final int SECRET_BYTES = 32;

  @Override
  public String toString() {
    return "key " + id;
  }
}
