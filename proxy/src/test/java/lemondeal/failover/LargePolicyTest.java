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

/** Any two of forty zones may fail: 821 cases. The timeout is far above measured times (docs/FAILOVER-DESIGN.md). */
class LargePolicyTest {
  @TempDir
  Path folder;

  /** @param capacityFactor capacity over demand; at 1.2 two lost zones often fit only if other load moves, too */
  static PolicyFileBuilder fortyZones(double capacityFactor) {
    PolicyFileBuilder policy = new PolicyFileBuilder();
    Random random = new Random(40);
    for (int i = 0; i < 40; i++) {
      int demand = 60 + random.nextInt(41);
      policy.zone(String.format("zone%02d", i), "region" + i % 5, demand,
          Math.round(demand * capacityFactor * (0.9 + random.nextInt(21) / 100.0)), "");
    }
    for (int region = 0; region < 5; region++) {
      List<String> steps = new ArrayList<>();
      for (int distance = 1; distance < 5; distance++) {
        steps.add("{region" + (region + distance) % 5 + ": 1}");
      }
      policy.set(policy.regions, "region" + region, "{helped_by: " + steps + "}");
    }
    policy.set(policy.top, "cross", "{zones: 0.4, regions: 0.2}");
    return policy.set(policy.survive, "any", "[{count: 2}]");
  }

  @Test
  void compilesAnyTwoOfFortyZones() throws IOException {
    Path file = fortyZones(1.5).write(folder);
    Plan plan = Assertions.assertTimeoutPreemptively(Duration.ofSeconds(120),
        () -> PolicyCompiler.compile(file, Measurements.NONE));
    assertEquals(821, plan.cases().size());
    assertEquals(plan, PlanCodec.decode(PlanCodec.encode(plan)));
  }
}
