package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lemondeal.log.PlainLog;
import lemondeal.net.TaskGuard;
import lemondeal.net.Timers.Timer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(20)
class TimerWheelTest {
  private static final long TICK = 5;

  private long now = 1_000_003;
  private int wakeUps;
  private final ByteArrayOutputStream logBytes = new ByteArrayOutputStream();
  private final PrintStream log = new PrintStream(logBytes, true);
  private final TimerWheel wheel =
      new TimerWheel(() -> now, TICK, 16, new TaskGuard(new PlainLog(log)), () -> wakeUps++);
  private final List<String> ran = new ArrayList<>();

  private void advanceTo(long time) {
    while (now < time) {
      now += Math.max(1, Math.min(time - now, wheel.untilNext()));
      wheel.advance();
    }
  }

  /** Over many rounds of a small wheel, timers run in order, never early and at most one tick late. */
  @Property(seed = "9", tries = 100)
  void deadlinesComeInOrderAndInTime(@ForAll long seed) {
    Random random = new Random(seed);
    long[] lastTick = {0};
    int[] lastNumber = {0};
    int[] count = {0};
    for (int i = 1; i <= 50; i++) {
      int number = i;
      long due = now + random.nextInt(1000);
      wheel.after(due - now, () -> {
        assertTrue(now >= due && now < due + 2 * TICK, now + " for " + due);
        long tick = (due + TICK - 1) / TICK;
        assertTrue(tick > lastTick[0] || number > lastNumber[0], "out of order");
        lastTick[0] = tick;
        lastNumber[0] = number;
        count[0]++;
      });
    }
    advanceTo(now + 1100);
    assertEquals(50, count[0]);
    assertEquals(Long.MAX_VALUE, wheel.untilNext());
  }

  @Test
  void aCancelledTimerDoesNotRunAndTasksMayCancelOthers() {
    Timer[] later = new Timer[1];
    wheel.after(10, () -> {
      ran.add("first");
      later[0].cancel();
      wheel.after(0, () -> ran.add("third"));
    });
    later[0] = wheel.after(10, () -> ran.add("second"));
    wheel.after(200, () -> ran.add("far")).cancel();
    advanceTo(now + 300);
    assertEquals(List.of("first", "third"), ran);
    assertEquals(Long.MAX_VALUE, wheel.untilNext(), "an empty wheel must not schedule an advance");
  }

  @Test
  void anEarlierDeadlineReschedulesTheWheel() {
    wheel.after(500, () -> ran.add("late"));
    wheel.after(600, () -> ran.add("later"));
    assertEquals(1, wakeUps);
    wheel.after(20, () -> ran.add("soon"));
    assertEquals(2, wakeUps);
    advanceTo(now + 1000);
    assertEquals(List.of("soon", "late", "later"), ran);
  }

  /** Guards against a failing task that keeps the wheel from advancing again: all timers of the proxy stopped. */
  @Test
  void aTaskThatFailsStopsNoOther() {
    List<String> ran = new ArrayList<>();
    wheel.after(TICK, () -> {
      throw new IllegalStateException("broken task");
    });
    wheel.after(TICK, () -> ran.add("same tick"));
    wheel.after(3 * TICK, () -> ran.add("later tick"));
    now += 5 * TICK;
    wheel.advance();
    assertEquals(List.of("same tick", "later tick"), ran);
    assertTrue(logBytes.toString(StandardCharsets.UTF_8).contains("broken task"), "the failure must be logged");
  }

  /** Guards against out-of-memory and stack overflow errors that stop the wheel, and with it the whole process. */
  @ParameterizedTest
  @ValueSource(classes = {OutOfMemoryError.class, StackOverflowError.class, IllegalStateException.class})
  void aTaskThatThrowsAnErrorStopsNoOther(Class<? extends Throwable> failure) throws Exception {
    Throwable thrown = failure.getConstructor().newInstance();
    wheel.after(10, () -> TimerWheelTest.<RuntimeException>throwUnchecked(thrown));
    wheel.after(10, () -> ran.add("same tick"));
    wheel.after(50, () -> ran.add("later"));
    try {
      advanceTo(now + 100);
    } catch (VirtualMachineError e) {
      // Rethrown, this error would end the test runner.
      ran.add(e.toString());
    }
    assertEquals(List.of("same tick", "later"), ran);
    assertTrue(logBytes.toString().contains("failed inside: " + failure.getName()), logBytes.toString());
  }

  @SuppressWarnings("unchecked")
  private static <T extends Throwable> void throwUnchecked(Throwable thrown) throws T {
    throw (T) thrown;
  }
}
