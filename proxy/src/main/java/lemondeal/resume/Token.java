package lemondeal.resume;

/**
 * What a token says, as values.
 *
 * @param session 32 hex digits
 * @param epoch of the connection that it was made on
 * @param className the class of its client
 * @param group a digest of the client's group, empty where there is none
 * @param toClient lines passed to the client in the whole session
 * @param fromClient lines of the client that the server has acknowledged in the whole session
 * @param server discovery's id of the server that held it
 * @param issued Unix milliseconds on the maker's clock
 * @param expires Unix milliseconds on the maker's clock
 */
public record Token(String session, long epoch, String className, String groupDigest, long linesToClient, long acknowledgedLines,
    String server, long issuedAt, long expiresAt) {}
