package lemondeal.resume;

import java.util.Locale;
import lemondeal.claims.ClaimAnswer;

/**
 * What becomes of a client that asks to resume. Pure: no I/O, no clock, no state. Which server it goes to and whether to
 * try again is not asked here: that stays with the decision module.
 */
public final class ResumeRules {
  private ResumeRules() {}

  /** A decision on a token, a claim's answer or a server's word. */
  public sealed interface Decision {}

  /** The session is to be claimed; it holds until then that the client has {@code have} lines. */
  public record ClaimFirst(Token token, long linesAtClient) implements Decision {}

  /** Goes on with these epochs. */
  public record Proceed(long fence) implements Decision {}

  /** A new session, and the client is told the reason in so many words. */
  public record NewSession(String reason) implements Decision {}

  /** Come again: the token stays good. Milliseconds. */
  public record Busy(long retryAfterMillis, String reason) implements Decision {}

  /** The client does not keep to the protocol, or comes twice: {@code ERR} and the reason. */
  public record Fail(String reason) implements Decision {}

  /** The server goes on from here: it has so many lines of the client's. */
  public record ResumeAt(long linesAtServer) implements Decision {}

  /** The server's word can't be true: the attempt has failed, and another server may do better. */
  public record InconsistentServer(String reason) implements Decision {}

  /** A token that can't even be read. Who may have an honest one begins anew; all others are refused. */
  public static Decision rejectToken(TokenFault fault) {
    return switch (fault) {
      case VERSION, KEY -> new NewSession(fault.name().toLowerCase(Locale.ROOT));
      case SHAPE, FORGED -> new Fail("token");
    };
  }

  /**
   * A token that was read, presented by a client of this class and group.
   *
   * @param have lines that the client says it has got in the whole session; -1 where it says nothing that can be read
   * @param now Unix milliseconds
   */
  public static Decision checkToken(Token token, String className, String group, long linesAtClient, long now, long skewMillis) {
    if (!token.className().equals(className) || !token.groupDigest().equals(group)) {
      return new Fail("other");
    }
    if (linesAtClient < token.linesToClient()) {
      // Tokens and lines come in one order: whoever has the token has had these lines.
      return new Fail("got");
    }
    if (token.expiresAt() + skewMillis <= now) {
      return new NewSession("expired");
    }
    if (token.issuedAt() > now + skewMillis) {
      return new NewSession("clock");
    }
    return new ClaimFirst(token, linesAtClient);
  }

  /** What the store said. */
  public static Decision onClaimAnswer(ClaimAnswer answer, long retryMillis) {
    if (answer instanceof ClaimAnswer.Granted granted) {
      return new Proceed(granted.fence());
    }
    if (answer instanceof ClaimAnswer.Used) {
      return new Fail("used");
    }
    // A claim that is held has nearly always been settled or given back long before its lease would end.
    return new Busy(answer instanceof ClaimAnswer.Held held ? Math.min(held.remainingMillis(), retryMillis) : retryMillis,
        answer instanceof ClaimAnswer.Unknown unknown ? unknown.reason() : "held");
  }

  /**
   * A server's {@code UP}.
   *
   * @param goesOn whether the session is to go on, not to begin
   * @param has the lines of the client's that it has, -1 where it says that it can't resume
   * @param acknowledged those that a server has acknowledged before: the client does not have them any more
   */
  public static Decision checkUp(long linesAtServer, boolean resuming, long acknowledgedLines) {
    if (linesAtServer < 0) {
      return new NewSession("server");
    }
    if (!resuming && linesAtServer > 0) {
      return new InconsistentServer("ahead");
    }
    return linesAtServer < acknowledgedLines ? new InconsistentServer("behind") : new ResumeAt(linesAtServer);
  }
}
