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
  public sealed interface Verdict {}

  /** The session is to be claimed; it holds until then that the client has {@code have} lines. */
  public record Claimable(Token token, long have) implements Verdict {}

  /** Goes on with these epochs. */
  public record Continue(long fence) implements Verdict {}

  /** A new session, and the client is told the reason in so many words. */
  public record Anew(String reason) implements Verdict {}

  /** Come again: the token stays good. Milliseconds. */
  public record Busy(long millis, String reason) implements Verdict {}

  /** The client does not keep to the protocol, or comes twice: {@code ERR} and the reason. */
  public record Fail(String reason) implements Verdict {}

  /** The server goes on from here: it has so many lines of the client's. */
  public record At(long has) implements Verdict {}

  /** The server's word can't be true: the attempt has failed, and another server may do better. */
  public record Broken(String reason) implements Verdict {}

  /** A token that can't even be read. Who may have an honest one begins anew; all others are refused. */
  public static Verdict unreadable(TokenFault fault) {
    return switch (fault) {
      case VERSION, KEY -> new Anew(fault.name().toLowerCase(Locale.ROOT));
      case SHAPE, FORGED -> new Fail("token");
    };
  }

  /**
   * A token that was read, presented by a client of this class and group.
   *
   * @param have lines that the client says it has got in the whole session; -1 where it says nothing that can be read
   * @param now Unix milliseconds
   */
  public static Verdict present(Token token, String className, String group, long have, long now, long skew) {
    if (!token.className().equals(className) || !token.group().equals(group)) {
      return new Fail("other");
    }
    if (have < token.toClient()) {
      // Tokens and lines come in one order: whoever has the token has had these lines.
      return new Fail("got");
    }
    if (token.expires() + skew <= now) {
      return new Anew("expired");
    }
    if (token.issued() > now + skew) {
      return new Anew("clock");
    }
    return new Claimable(token, have);
  }

  /** What the store said. */
  public static Verdict claimed(ClaimAnswer answer, long retry) {
    if (answer instanceof ClaimAnswer.Granted granted) {
      return new Continue(granted.fence());
    }
    if (answer instanceof ClaimAnswer.Used) {
      return new Fail("used");
    }
    // A claim that is held has nearly always been settled or given back long before its lease would end.
    return new Busy(answer instanceof ClaimAnswer.Held held ? Math.min(held.millis(), retry) : retry,
        answer instanceof ClaimAnswer.Unknown unknown ? unknown.why() : "held");
  }

  /**
   * A server's {@code UP}.
   *
   * @param goesOn whether the session is to go on, not to begin
   * @param has the lines of the client's that it has, -1 where it says that it can't resume
   * @param acknowledged those that a server has acknowledged before: the client does not have them any more
   */
  public static Verdict up(long has, boolean goesOn, long acknowledged) {
    if (has < 0) {
      return new Anew("server");
    }
    if (!goesOn && has > 0) {
      return new Broken("ahead");
    }
    return has < acknowledged ? new Broken("behind") : new At(has);
  }
}
