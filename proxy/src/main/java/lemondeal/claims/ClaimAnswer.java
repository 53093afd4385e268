package lemondeal.claims;

/** What became of a claim. */
public sealed interface ClaimAnswer {

  /** It holds. Attempts use the epochs {@code fence} to {@code fence + ATTEMPTS - 1}, a new one each. */
  record Granted(long fence) implements ClaimAnswer {}

  /** Another claim is not settled yet; in so many milliseconds it will have run out at the latest. */
  record Held(long remainingMillis) implements ClaimAnswer {}

  /** A connection has gone on from a token of this epoch, or from a later one. */
  record Used() implements ClaimAnswer {}

  /** Nothing can be said now: the store is silent, down or full, or too many write at once. The token stays good. */
  record Unknown(String reason) implements ClaimAnswer {}
}
