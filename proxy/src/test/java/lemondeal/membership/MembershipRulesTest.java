package lemondeal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Flap damping, rejected answers, and query backoff. */
class MembershipRulesTest {
  private static final Damping.Settings DAMPING = new Damping.Settings(2_000, 60_000, 300_000);
  private static final ListGuard.Settings GUARD = ListGuard.Settings.DEFAULT;

  /**
   * For any sequence of observations: a failure is accepted at once, and an instance never serves again before its
   * quiet period has passed since it was last seen failing.
   */
  @Property(seed = "7", tries = 300)
  void failureIsAcceptedAtOnceAndRecoveryOnlyAfterTheQuietPeriod(@ForAll long seed) {
    Random random = new Random(seed);
    long now = 1_000_000;
    Damping.State state = Damping.State.first(Health.PASSING, now);
    for (int step = 0; step < 200; step++) {
      now += random.nextInt(random.nextBoolean() ? 300 : 20_000);
      Health health = Health.values()[random.nextInt(Health.values().length)];
      Damping.State previous = state;
      state = Damping.next(state, health, now, DAMPING);
      if (!health.serves()) {
        assertFalse(state.serves(), "a failing instance still serves");
      }
      if (state.serves() && !previous.serves()) {
        assertTrue(now - state.failedAt() >= Damping.quietPeriod(state.flaps(), DAMPING),
            "serves again before its quiet period has passed");
      }
      assertTrue(Damping.quietPeriod(state.flaps(), DAMPING) <= DAMPING.maxQuiet());
    }
  }

  @Example
  void flapsLengthenTheQuietPeriodAndLongStabilityResetsThem() {
    long now = 1_000_000;
    Damping.State state = Damping.State.first(Health.PASSING, now);
    for (int flap = 1; flap <= 4; flap++) {
      state = Damping.next(state, Health.CRITICAL, now, DAMPING);
      assertEquals(flap, state.flaps());
      long quiet = Damping.quietPeriod(flap, DAMPING);
      assertFalse(Damping.next(state, Health.PASSING, now + quiet - 1, DAMPING).serves());
      now += quiet;
      state = Damping.next(state, Health.PASSING, now, DAMPING);
      assertTrue(state.serves(), "flap " + flap);
    }
    assertEquals(16_000, Damping.quietPeriod(4, DAMPING));
    state = Damping.next(state, Health.PASSING, now + DAMPING.forgetFlapsAfter(), DAMPING);
    assertEquals(0, state.flaps(), "flaps are forgotten after a long stable time");
    assertEquals(DAMPING.maxQuiet(), Damping.quietPeriod(40, DAMPING));
  }

  /**
   * Flaps also count while the instance is drained: one that flaps fast stays drained until it has been quiet for the
   * maximum period.
   */
  @Example
  void flapsWhileDrainedCountToo() {
    long now = 1_000_000;
    Damping.State state = Damping.State.first(Health.PASSING, now);
    for (int flap = 0; flap < 10; flap++) {
      state = Damping.next(state, Health.CRITICAL, now += 150, DAMPING);
      state = Damping.next(state, Health.PASSING, now += 150, DAMPING);
      assertFalse(state.serves());
    }
    assertEquals(10, state.flaps());
    assertEquals(now - 150 + DAMPING.maxQuiet(), Damping.servesAgainAt(state, DAMPING));
  }

  @Example
  void maintenanceDrainsAndWarningServes() {
    long now = 1_000;
    assertFalse(Damping.State.first(Health.MAINTENANCE, now).serves());
    assertTrue(Damping.State.first(Health.WARNING, now).serves());
    Damping.State drained =
        Damping.next(Damping.State.first(Health.WARNING, now), Health.MAINTENANCE, now + 1, DAMPING);
    assertEquals(now + 1 + DAMPING.initialQuiet(), Damping.servesAgainAt(drained, DAMPING));
  }

  private static ListGuard.Verdict evaluate(long index, boolean leader, int instances, int lost, int serving) {
    return ListGuard.evaluate(new ListGuard.Answer(index, leader, 0, false, instances, lost),
        new ListGuard.HeldList(10, serving, 0), 50_000, GUARD);
  }

  @Example
  void answerWithoutLeaderOrTooStaleIsRejected() {
    assertEquals(new ListGuard.Reject("no leader", 10, false), evaluate(11, false, 8, 0, 8));
    ListGuard.Verdict lagging = ListGuard.evaluate(new ListGuard.Answer(11, false, 60_000, true, 8, 0),
        new ListGuard.HeldList(10, 8, 0), 50_000, GUARD);
    assertInstanceOf(ListGuard.Reject.class, lagging);
    assertEquals(new ListGuard.Accept(11), ListGuard.evaluate(new ListGuard.Answer(11, false, 500, true, 8, 0),
        new ListGuard.HeldList(10, 8, 0), 50_000, GUARD), "a stale read within the limit");
  }

  @Example
  void emptyOrHalvedListIsRejectedUntilConfirmed() {
    ListGuard.Verdict empty = evaluate(11, true, 0, 8, 8);
    assertEquals(new ListGuard.Reject("empty at once", 11, true), empty, "the next query continues from its index");
    assertInstanceOf(ListGuard.Reject.class, evaluate(11, true, 4, 5, 8));
    assertEquals(new ListGuard.Accept(11), evaluate(11, true, 4, 4, 8), "losing half is still accepted");
    assertEquals(new ListGuard.Accept(11), ListGuard.evaluate(new ListGuard.Answer(11, true, 0, false, 0, 8),
        new ListGuard.HeldList(10, 8, 40_000), 45_000, GUARD), "confirmed by a later answer");
    assertInstanceOf(ListGuard.Reject.class, ListGuard.evaluate(new ListGuard.Answer(11, true, 0, false, 0, 8),
        new ListGuard.HeldList(10, 8, 46_000), 47_000, GUARD), "too early to confirm");
  }

  /** Servers that drain one by one are lost one at a time, so a whole fleet can be replaced this way. */
  @Example
  void fleetReplacedOneByOneIsAccepted() {
    int serving = 10;
    for (int step = 0; step < 10; step++) {
      assertInstanceOf(ListGuard.Accept.class, evaluate(20 + step, true, 10, 1, serving));
    }
  }

  @Example
  void decreasingIndexRestartsTheBlockingQuery() {
    assertEquals(new ListGuard.Accept(0), evaluate(3, true, 8, 0, 8));
    assertEquals(new ListGuard.Accept(1), ListGuard.evaluate(new ListGuard.Answer(0, true, 0, false, 8, 0),
        new ListGuard.HeldList(0, 0, 0), 1, GUARD), "a query with index 0 would return at once, in a loop");
    assertEquals(new ListGuard.Accept(10), evaluate(10, true, 8, 0, 8),
        "unchanged index: the next query waits from there");
  }

  @Property(seed = "3", tries = 200)
  void pausesGrowAndAreBoundedAndJittered(@ForAll long seed) {
    Random random = new Random(seed);
    PollBackoff.Settings settings = PollBackoff.Settings.DEFAULT;
    long longest = 0;
    for (int failures = 0; failures < 12; failures++) {
      double jitter = random.nextDouble();
      long pause = PollBackoff.nextDelay(PollBackoff.CallOutcome.FAILED, failures, 10, jitter, settings);
      long mean = Math.min(settings.maxBackoff(), settings.initialBackoff() << failures);
      assertTrue(pause >= mean / 2 && pause <= mean * 3 / 2, failures + ": " + pause);
      assertTrue(PollBackoff.nextDelay(PollBackoff.CallOutcome.TOO_OFTEN, failures, 10, jitter, settings) >= pause);
      longest = Math.max(longest, pause);
    }
    assertTrue(longest <= settings.maxBackoff() * 3 / 2);
    assertTrue(PollBackoff.nextDelay(PollBackoff.CallOutcome.FAILED, 20, 10, 0.999,
        new PollBackoff.Settings(100, 500, 30_000)) <= 3_000, "in time before its changes count as known");
    assertEquals(90, PollBackoff.nextDelay(PollBackoff.CallOutcome.ANSWERED, 0, 10, 0.3, settings),
        "at most ten calls a second");
    assertEquals(0, PollBackoff.nextDelay(PollBackoff.CallOutcome.ANSWERED, 5, 30_000, 0.3, settings));
  }
}
