package lemondeal.claims;

/**
 * What is known of one session's claims. A value: whoever keeps it, in memory, on disk or in a store shared by a fleet,
 * replaces it as a whole.
 *
 * @param committed the highest epoch known to have come up; tokens of lower ones are used
 * @param fence the highest fence handed out; the next one is higher, so that an attempt given up long ago can't write
 * @param holder who holds the claim now, empty where nobody does
 * @param leaseUntil when an unsettled claim runs out, Unix milliseconds
 * @param forgetAt when no token of the session can be good any more, Unix milliseconds
 */
public record ClaimState(long committed, long fence, String holder, long leaseUntil, long forgetAt) {

  /** Of a session of which nothing was claimed yet. */
  public static final ClaimState NONE = new ClaimState(0, 0, "", 0, 0);

  boolean isHeld(long now) {
    return !holder.isEmpty() && now < leaseUntil;
  }

  boolean isHeldBy(String claimant) {
    return holder.equals(claimant);
  }
}
