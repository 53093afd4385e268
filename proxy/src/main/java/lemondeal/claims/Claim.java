package lemondeal.claims;

/**
 * One wish to go on with a session.
 *
 * @param session the session's id, 32 hex digits
 * @param epoch the token's epoch
 * @param holder a name used for this claim alone
 * @param lease how long the claim holds unless it is settled, milliseconds
 * @param forgetAt when no token of the session can be good any more, Unix milliseconds
 */
public record Claim(String session, long epoch, String holder, long leaseMillis, long forgetAt) {}
