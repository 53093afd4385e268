package lemondeal.claims;

/**
 * The state of one session's claims. Immutable: each store, in memory, on disk or shared by the fleet, replaces it as a
 * whole.
 *
 * @param committed the highest epoch whose connection is known to have come up; tokens of lower epochs are used
 * @param fence the highest fence granted; the next one is higher, so that an attempt abandoned earlier can't write
 * @param holder id of the claim that is held now; empty if none is
 * @param leaseUntil when the held claim's lease expires, Unix milliseconds
 * @param forgetAt when all tokens of the session have expired, Unix milliseconds
 */
public record ClaimState(long committed, long fence, String holder, long leaseUntil, long forgetAt) {

  /** The state of a session that was never claimed. */
  public static final ClaimState NONE = new ClaimState(0, 0, "", 0, 0);

  boolean isHeld(long now) {
    return !holder.isEmpty() && now < leaseUntil;
  }

  boolean isHeldBy(String claimant) {
    return holder.equals(claimant);
  }
}
