package lemondeal.resume;

import java.util.Locale;
import lemondeal.claims.ClaimAnswer;

/**
 * Decides what to do with a client that asks to resume a session. Pure: no I/O, no clock, no state. The decision module
 * chooses the server and decides on retries.
 */
public final class ResumeRules {
  private ResumeRules() {}

  /** A decision on a token, on the answer to a claim, or on a server's {@code UP} line. */
  public sealed interface Decision {}

  /** The token is valid: claim the session. The client has received {@code linesAtClient} lines. */
  public record ClaimFirst(Token token, long linesAtClient) implements Decision {}

  /** The claim is granted: continue the session with the epochs of this fence. */
  public record Proceed(long fence) implements Decision {}

  /** Start a new session and report the reason to the client. */
  public record NewSession(String reason) implements Decision {}

  /** The client is to retry later; its token stays valid. */
  public record Busy(long retryAfterMillis, String reason) implements Decision {}

  /** The client violates the protocol or has used the token before: {@code ERR} with the reason. */
  public record Fail(String reason) implements Decision {}

  /** The server continues the session; it has this many of the client's lines. */
  public record ResumeAt(long linesAtServer) implements Decision {}

  /** The server's line count contradicts the session: the attempt has failed, and another server may succeed. */
  public record InconsistentServer(String reason) implements Decision {}

  /** A token that can't be decoded. A client whose token may be genuine starts a new session; any other is rejected. */
  public static Decision rejectToken(TokenFault fault) {
    return switch (fault) {
      case VERSION, KEY -> new NewSession(fault.name().toLowerCase(Locale.ROOT));
      case SHAPE, FORGED -> new Fail("token");
    };
  }

  /**
   * A decoded token, presented by a client of this class and group.
   *
   * @param linesAtClient lines that the client reports to have received in the whole session; -1 if missing or invalid
   * @param now Unix milliseconds
   */
  public static Decision checkToken(Token token, String className, String groupDigest, long linesAtClient, long now,
      long skewMillis) {
    if (!token.className().equals(className) || !token.groupDigest().equals(groupDigest)) {
      return new Fail("other");
    }
    if (linesAtClient < token.linesToClient()) {
      // Tokens and lines are sent in order: a client that has the token has received these lines.
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

  /** The answer to the claim. */
  public static Decision onClaimAnswer(ClaimAnswer answer, long retryMillis) {
    if (answer instanceof ClaimAnswer.Granted granted) {
      return new Proceed(granted.fence());
    }
    if (answer instanceof ClaimAnswer.Used) {
      return new Fail("used");
    }
    // A held claim is nearly always committed or released long before its lease expires.
    return new Busy(
        answer instanceof ClaimAnswer.Held held ? Math.min(held.remainingMillis(), retryMillis) : retryMillis,
        answer instanceof ClaimAnswer.Unknown unknown ? unknown.reason() : "held");
  }

  /**
   * A server's {@code UP} line.
   *
   * @param resuming whether the session is continued, not started
   * @param linesAtServer how many of the client's lines the server has; -1 if it can't resume
   * @param acknowledgedLines how many lines a server has acknowledged before: the client has discarded these
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
