package lemondeal.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws which faults come when: in groups of two or three that overlap in time, and some alone. */
final class FaultPlan {
  /** One group begins in each such span on the mean. */
  private static final long MEAN_GROUP_INTERVAL_MILLIS = 350;
  /** Within a group each begins so long after the one before at most. */
  private static final long MAX_GAP_IN_GROUP_MILLIS = 500;
  private static final long MIN_DURATION_MILLIS = 200;
  private static final long MAX_DURATION_MILLIS = 3_000;

  private FaultPlan() {}

  /** Faults over the first {@code millis} of a soak, in their order. */
  static List<Fault> draw(UniformRandomProvider random, long totalMillis, int proxies, int servers) {
    Fault.Kind[] kinds = Fault.Kind.values();
    List<Fault> faults = new ArrayList<>();
    for (long groupStartMillis = random.nextLong(MEAN_GROUP_INTERVAL_MILLIS); groupStartMillis < totalMillis; groupStartMillis += 1 + random.nextLong(2 * MEAN_GROUP_INTERVAL_MILLIS)) {
      int groupSize = 1 + random.nextInt(3);
      long startMillis = groupStartMillis;
      // Those of a group hit one proxy or server more often than not: that is where events cross.
      int proxy = random.nextInt(proxies);
      int server = random.nextInt(servers);
      for (int i = 0; i < groupSize; i++) {
        Fault.Kind kind = kinds[random.nextInt(kinds.length)];
        long durationMillis = Math.min(totalMillis - startMillis, MIN_DURATION_MILLIS + random.nextLong(MAX_DURATION_MILLIS - MIN_DURATION_MILLIS));
        int target = targetsServer(kind) ? server : proxy;
        if (startMillis < totalMillis) {
          faults.add(new Fault(kind, startMillis, durationMillis, target, random.nextInt(1_000)));
        }
        startMillis += random.nextLong(MAX_GAP_IN_GROUP_MILLIS);
        proxy = random.nextInt(3) == 0 ? random.nextInt(proxies) : proxy;
      }
    }
    faults.sort(Comparator.comparingLong(Fault::startMillis));
    return faults;
  }

  private static boolean targetsServer(Fault.Kind kind) {
    return kind.name().startsWith("SERVER_");
  }
}
