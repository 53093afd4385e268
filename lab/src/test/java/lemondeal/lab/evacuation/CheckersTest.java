package lemondeal.lab.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import lemondeal.evacuation.Evacuation;
import org.junit.jupiter.api.Test;

/** The checkers that no mistake in the agreement alone can trip, told of what they must catch. */
class CheckersTest {
  private final List<String> breaches = new ArrayList<>();

  private <T extends Checker> T told(T checker) {
    checker.tellTo((rule, what) -> breaches.add(rule));
    return checker;
  }

  @Test
  void aSendToALeftZoneIsCaughtAfterASecond() {
    NoSendToLeftZone checker = told(new NoSendToLeftZone());
    checker.decided(100, 1, new Evacuation.Decision(2, 3, false));
    checker.sent(1_100, 1, 2, 0, 0);
    checker.sent(5_000, 0, 2, 0, 0);
    checker.sent(5_000, 1, 1, 0, 0);
    assertEquals(List.of(), breaches, "in time, another member, another zone");
    checker.started(1_100, 1, true);
    checker.sent(1_101, 1, 2, 0, 0);
    assertEquals(List.of("NoSendToLeftZone"), breaches);
    checker.decided(2_000, 1, new Evacuation.Decision(2, 4, false));
    checker.sent(6_000, 1, 2, 0, 0);
    assertEquals(1, breaches.size(), "returned");
  }

  @Test
  void aKeyThatDoesNotComeBackIsCaught() {
    KeysReturn checker = told(new KeysReturn(1_000, 500));
    checker.sent(10, 0, 0, 7, 3);
    checker.sent(20, 0, 0, 8, 4);
    checker.sent(9_000, 0, 0, 7, 3);
    checker.sent(9_000, 0, 0, 8, 5);
    checker.over(9_100, true);
    assertEquals(List.of("KeysReturn"), breaches);
    checker.over(9_100, false);
    assertEquals(2, breaches.size(), "not all open");
  }
}
