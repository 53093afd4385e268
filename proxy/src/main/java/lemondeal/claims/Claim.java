package lemondeal.claims;

/**
 * A request for the exclusive right to continue a session.
 *
 * @param session the session's id, 32 hex digits
 * @param epoch the token's epoch
 * @param holder a unique id of this claim
 * @param leaseMillis how long the claim is held unless it is committed or released before
 * @param forgetAt when all tokens of the session have expired, Unix milliseconds
 */
public record Claim(String session, long epoch, String holder, long leaseMillis, long forgetAt) {}
