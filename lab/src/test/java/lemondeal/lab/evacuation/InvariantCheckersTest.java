package lemondeal.lab.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import lemondeal.evacuation.Evacuation;
import org.junit.jupiter.api.Test;

/** Tests the checkers that faulty quorum rules cannot trigger, with direct calls. */
class InvariantCheckersTest {
  private final List<String> breaches = new ArrayList<>();

  private <T extends InvariantChecker> T withListener(T checker) {
    checker.setBreachListener((rule, description) -> breaches.add(rule));
    return checker;
  }

  @Test
  void sendToEvacuatedZoneIsDetectedAfterASecond() {
    NoSendToLeftZone checker = withListener(new NoSendToLeftZone());
    checker.onDecision(100, 1, new Evacuation.Decision(2, 3, false));
    checker.onSend(1_100, 1, 2, 0, 0);
    checker.onSend(5_000, 0, 2, 0, 0);
    checker.onSend(5_000, 1, 1, 0, 0);
    assertEquals(List.of(), breaches, "within the grace period, another member, another zone");
    checker.onStart(1_100, 1, true);
    checker.onSend(1_101, 1, 2, 0, 0);
    assertEquals(List.of("NoSendToLeftZone"), breaches);
    checker.onDecision(2_000, 1, new Evacuation.Decision(2, 4, false));
    checker.onSend(6_000, 1, 2, 0, 0);
    assertEquals(1, breaches.size(), "returned");
  }

  @Test
  void keyThatDoesNotReturnIsDetected() {
    KeysReturn checker = withListener(new KeysReturn(1_000, 500));
    checker.onSend(10, 0, 0, 7, 3);
    checker.onSend(20, 0, 0, 8, 4);
    checker.onSend(9_000, 0, 0, 7, 3);
    checker.onSend(9_000, 0, 0, 8, 5);
    checker.onEnd(9_100, true);
    assertEquals(List.of("KeysReturn"), breaches);
    checker.onEnd(9_100, false);
    assertEquals(2, breaches.size(), "not all zones open");
  }
}
