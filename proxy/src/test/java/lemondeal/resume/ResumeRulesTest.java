package lemondeal.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;

import lemondeal.claims.ClaimAnswer;
import lemondeal.resume.ResumeRules.Anew;
import lemondeal.resume.ResumeRules.At;
import lemondeal.resume.ResumeRules.Broken;
import lemondeal.resume.ResumeRules.Busy;
import lemondeal.resume.ResumeRules.Claimable;
import lemondeal.resume.ResumeRules.Continue;
import lemondeal.resume.ResumeRules.Fail;
import lemondeal.resume.ResumeRules.Verdict;
import org.junit.jupiter.api.Test;

/** Each answer of the rules, at its bounds. */
class ResumeRulesTest {
  private static final long ISSUED = 1_000_000;
  private static final long EXPIRES = 1_060_000;
  private static final long SKEW = 2000;
  private static final Token TOKEN = new Token("00".repeat(16), 16, "sync", "ab", 10, 7, "s-1", ISSUED, EXPIRES);

  private static Verdict present(String className, String group, long have, long now) {
    return ResumeRules.present(TOKEN, className, group, have, now, SKEW);
  }

  @Test
  void aTokenIsGoodForItsOwnClientAndTimeAlone() {
    assertEquals(new Claimable(TOKEN, 10), present("sync", "ab", 10, ISSUED));
    assertEquals(new Claimable(TOKEN, 11), present("sync", "ab", 11, ISSUED));
    assertEquals(new Fail("other"), present("chat", "ab", 10, ISSUED));
    assertEquals(new Fail("other"), present("sync", "", 10, ISSUED));
    assertEquals(new Fail("got"), present("sync", "ab", 9, ISSUED));
    assertEquals(new Fail("got"), present("sync", "ab", -1, ISSUED));
  }

  /** Clocks may lie apart by the skew, either way. */
  @Test
  void timesAreHeldToWithTheSkew() {
    assertEquals(new Claimable(TOKEN, 10), present("sync", "ab", 10, EXPIRES + SKEW - 1));
    assertEquals(new Anew("expired"), present("sync", "ab", 10, EXPIRES + SKEW));
    assertEquals(new Claimable(TOKEN, 10), present("sync", "ab", 10, ISSUED - SKEW));
    assertEquals(new Anew("clock"), present("sync", "ab", 10, ISSUED - SKEW - 1));
  }

  @Test
  void whoMayHaveAnHonestTokenBeginsAnew() {
    assertEquals(new Anew("key"), ResumeRules.unreadable(TokenFault.KEY));
    assertEquals(new Anew("version"), ResumeRules.unreadable(TokenFault.VERSION));
    assertEquals(new Fail("token"), ResumeRules.unreadable(TokenFault.FORGED));
    assertEquals(new Fail("token"), ResumeRules.unreadable(TokenFault.SHAPE));
  }

  @Test
  void theStoresAnswerDecides() {
    assertEquals(new Continue(32), ResumeRules.claimed(new ClaimAnswer.Granted(32), 500));
    assertEquals(new Fail("used"), ResumeRules.claimed(new ClaimAnswer.Used(), 500));
    assertEquals(new Busy(500, "held"), ResumeRules.claimed(new ClaimAnswer.Held(9000), 500));
    assertEquals(new Busy(20, "held"), ResumeRules.claimed(new ClaimAnswer.Held(20), 500));
    assertEquals(new Busy(500, "silent"), ResumeRules.claimed(new ClaimAnswer.Unknown("silent"), 500));
  }

  @Test
  void aServerMustHaveWhatWasAcknowledged() {
    assertEquals(new At(7), ResumeRules.up(7, true, 7));
    assertEquals(new At(9), ResumeRules.up(9, true, 7));
    assertEquals(new Broken("behind"), ResumeRules.up(6, true, 7));
    assertEquals(new Anew("server"), ResumeRules.up(-1, true, 7));
    assertEquals(new At(0), ResumeRules.up(0, false, 0));
    assertEquals(new Broken("ahead"), ResumeRules.up(1, false, 0));
  }
}
