package lemondeal.lab.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Draws a random schedule of faults: single ones, and groups of two or three that overlap in time. */
final class FaultPlan {
  /** Mean time between the starts of two groups. */
  private static final long MEAN_GROUP_INTERVAL_MILLIS = 350;
  /** Longest time between the starts of two successive faults of a group. */
  private static final long MAX_GAP_IN_GROUP_MILLIS = 500;
  private static final long MIN_DURATION_MILLIS = 200;
  private static final long MAX_DURATION_MILLIS = 3_000;

  private FaultPlan() {}

  /** Returns the faults of a plan that lasts {@code totalMillis}, ordered by start time. */
  static List<Fault> draw(UniformRandomProvider random, long totalMillis, int proxies, int servers) {
    Fault.Kind[] kinds = Fault.Kind.values();
    List<Fault> faults = new ArrayList<>();
    for (long groupStartMillis = random.nextLong(MEAN_GROUP_INTERVAL_MILLIS); groupStartMillis < totalMillis;
        groupStartMillis += 1 + random.nextLong(2 * MEAN_GROUP_INTERVAL_MILLIS)) {
      int groupSize = 1 + random.nextInt(3);
      long startMillis = groupStartMillis;
      // The faults of a group mostly affect the same proxy or server, since interleaved events expose races there.
      int proxy = random.nextInt(proxies);
      int server = random.nextInt(servers);
      for (int i = 0; i < groupSize; i++) {
        Fault.Kind kind = kinds[random.nextInt(kinds.length)];
        long durationMillis = Math.min(totalMillis - startMillis,
            MIN_DURATION_MILLIS + random.nextLong(MAX_DURATION_MILLIS - MIN_DURATION_MILLIS));
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
