package lemondeal.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;

import lemondeal.claims.ClaimAnswer;
import lemondeal.resume.ResumeRules.Busy;
import lemondeal.resume.ResumeRules.ClaimFirst;
import lemondeal.resume.ResumeRules.Decision;
import lemondeal.resume.ResumeRules.Fail;
import lemondeal.resume.ResumeRules.InconsistentServer;
import lemondeal.resume.ResumeRules.NewSession;
import lemondeal.resume.ResumeRules.Proceed;
import lemondeal.resume.ResumeRules.ResumeAt;
import org.junit.jupiter.api.Test;

/** Each decision of the rules, at its limits. */
class ResumeRulesTest {
  private static final long ISSUED = 1_000_000;
  private static final long EXPIRES = 1_060_000;
  private static final long SKEW = 2000;
  private static final Token TOKEN = new Token("00".repeat(16), 16, "sync", "ab", 10, 7, "s-1", ISSUED, EXPIRES);

  private static Decision checkToken(String className, String groupDigest, long linesAtClient, long now) {
    return ResumeRules.checkToken(TOKEN, className, groupDigest, linesAtClient, now, SKEW);
  }

  @Test
  void tokenIsValidOnlyForItsClientAndItsLines() {
    assertEquals(new ClaimFirst(TOKEN, 10), checkToken("sync", "ab", 10, ISSUED));
    assertEquals(new ClaimFirst(TOKEN, 11), checkToken("sync", "ab", 11, ISSUED));
    assertEquals(new Fail("other"), checkToken("chat", "ab", 10, ISSUED));
    assertEquals(new Fail("other"), checkToken("sync", "", 10, ISSUED));
    assertEquals(new Fail("got"), checkToken("sync", "ab", 9, ISSUED));
    assertEquals(new Fail("got"), checkToken("sync", "ab", -1, ISSUED));
  }

  /** Clocks may differ by the skew in either direction. */
  @Test
  void tokenTimesAllowForClockSkew() {
    assertEquals(new ClaimFirst(TOKEN, 10), checkToken("sync", "ab", 10, EXPIRES + SKEW - 1));
    assertEquals(new NewSession("expired"), checkToken("sync", "ab", 10, EXPIRES + SKEW));
    assertEquals(new ClaimFirst(TOKEN, 10), checkToken("sync", "ab", 10, ISSUED - SKEW));
    assertEquals(new NewSession("clock"), checkToken("sync", "ab", 10, ISSUED - SKEW - 1));
  }

  @Test
  void unknownKeyOrVersionStartsANewSession() {
    assertEquals(new NewSession("key"), ResumeRules.rejectToken(TokenFault.KEY));
    assertEquals(new NewSession("version"), ResumeRules.rejectToken(TokenFault.VERSION));
    assertEquals(new Fail("token"), ResumeRules.rejectToken(TokenFault.FORGED));
    assertEquals(new Fail("token"), ResumeRules.rejectToken(TokenFault.SHAPE));
  }

  @Test
  void claimAnswerDecidesTheOutcome() {
    assertEquals(new Proceed(32), ResumeRules.onClaimAnswer(new ClaimAnswer.Granted(32), 500));
    assertEquals(new Fail("used"), ResumeRules.onClaimAnswer(new ClaimAnswer.Used(), 500));
    assertEquals(new Busy(500, "held"), ResumeRules.onClaimAnswer(new ClaimAnswer.Held(9000), 500));
    assertEquals(new Busy(20, "held"), ResumeRules.onClaimAnswer(new ClaimAnswer.Held(20), 500));
    assertEquals(new Busy(500, "silent"), ResumeRules.onClaimAnswer(new ClaimAnswer.Unknown("silent"), 500));
  }

  @Test
  void serverMustHaveTheAcknowledgedLines() {
    assertEquals(new ResumeAt(7), ResumeRules.checkUp(7, true, 7));
    assertEquals(new ResumeAt(9), ResumeRules.checkUp(9, true, 7));
    assertEquals(new InconsistentServer("behind"), ResumeRules.checkUp(6, true, 7));
    assertEquals(new NewSession("server"), ResumeRules.checkUp(-1, true, 7));
    assertEquals(new ResumeAt(0), ResumeRules.checkUp(0, false, 0));
    assertEquals(new InconsistentServer("ahead"), ResumeRules.checkUp(1, false, 0));
  }
}
