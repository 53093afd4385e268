package lemondeal.resume;

/**
 * The content of a resume token.
 *
 * @param session 32 hex digits
 * @param epoch the epoch of the connection that it was issued on
 * @param className the client's class
 * @param groupDigest a digest of the client's group; empty if it has none
 * @param linesToClient lines sent to the client in the whole session
 * @param acknowledgedLines client lines that the server has acknowledged in the whole session
 * @param server discovery's id of the server that had the session
 * @param issuedAt Unix milliseconds on the issuing proxy's clock
 * @param expiresAt Unix milliseconds on the issuing proxy's clock
 */
public record Token(String session, long epoch, String className, String groupDigest, long linesToClient,
    long acknowledgedLines, String server, long issuedAt, long expiresAt) {}
