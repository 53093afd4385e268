package lemondeal.claims;

/** The outcome of a claim. */
public sealed interface ClaimAnswer {

  /** The claim is held. Attempts use the epochs {@code fence} to {@code fence + EPOCHS_PER_GRANT - 1}, each its own. */
  record Granted(long fence) implements ClaimAnswer {}

  /** Another claim is neither committed nor released yet; its lease expires after the given time. */
  record Held(long remainingMillis) implements ClaimAnswer {}

  /** A connection has already continued the session from a token of this epoch or of a later one. */
  record Used() implements ClaimAnswer {}

  /**
   * The outcome is unknown: the store does not answer, is down or full, or has too many concurrent writers. The token
   * stays valid.
   */
  record Unknown(String reason) implements ClaimAnswer {}
}
