package lemondeal.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Forty zones of which any two may fail: 821 cases. Bounded far above what is measured (docs/FAILOVER-DESIGN.md). */
class LargePolicyTest {
  @TempDir
  Path folder;

  /** @param factor capacity to demand; at 1.2 two lost zones often do not fit without moving others */
  static Policies forty(double factor) {
    Policies policy = new Policies();
    Random random = new Random(40);
    for (int i = 0; i < 40; i++) {
      int demand = 60 + random.nextInt(41);
      policy.zone(String.format("zone%02d", i), "region" + i % 5, demand,
          Math.round(demand * factor * (0.9 + random.nextInt(21) / 100.0)), "");
    }
    for (int r = 0; r < 5; r++) {
      List<String> steps = new ArrayList<>();
      for (int next = 1; next < 5; next++) {
        steps.add("{region" + (r + next) % 5 + ": 1}");
      }
      policy.set(policy.regions, "region" + r, "{helped_by: " + steps + "}");
    }
    policy.set(policy.top, "cross", "{zones: 0.4, regions: 0.2}");
    return policy.set(policy.survive, "any", "[{count: 2}]");
  }

  @Test
  void anyTwoOfForty() throws IOException {
    Path file = forty(1.5).write(folder);
    Plan plan = Assertions.assertTimeoutPreemptively(Duration.ofSeconds(120),
        () -> PolicyCompiler.compile(file, Measured.NONE));
    assertEquals(821, plan.cases().size());
    assertEquals(plan, PlanCodec.decode(PlanCodec.encode(plan)));
  }
}
