package lemondeal.lab.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The faults of a run, generated from its seed: odd seeds fail a zone in isolation, even seeds mix random faults. */
public record FaultSchedule(List<Fault> faults) {
  /** Start of the period with faults. */
  public static final long FIRST_FAULT_MILLIS = 5_000;
  private static final long START_RANGE_MILLIS = 40_000;
  private static final long MAX_DURATION_MILLIS = 15_000;

  /** Generates the faults of a seed for a fleet of the given size. */
  public static FaultSchedule generate(long seed, int members, int zones, int serversPerZone) {
    Random random = new Random(seed * 31 + 7);
    return new FaultSchedule(seed % 2 == 0 ? randomFaults(random, members, zones, serversPerZone)
        : isolatedZoneFailure(random, members, zones, serversPerZone));
  }

  private static List<Fault> isolatedZoneFailure(Random random, int members, int zones, int serversPerZone) {
    long failsAt = FIRST_FAULT_MILLIS + 3_000 + random.nextInt(5_000);
    List<Fault> faults = new ArrayList<>();
    int zone = random.nextInt(zones);
    faults.add(new Fault(Fault.Kind.ZONE_DIES, failsAt, failsAt + 4_000 + random.nextInt(8_000), zone, 0));
    long blipAt = failsAt + 40_000;
    faults.add(new Fault(Fault.Kind.ZONE_DIES, blipAt, blipAt + 300 + random.nextInt(600), (zone + 1) % zones, 0));
    faults.add(new Fault(Fault.Kind.LOSSY, FIRST_FAULT_MILLIS, blipAt, random.nextInt(members), random.nextInt(zones)));
    faults.add(new Fault(Fault.Kind.FLAPS, FIRST_FAULT_MILLIS, blipAt, random.nextInt(zones * serversPerZone), 0));
    faults.add(new Fault(Fault.Kind.ROWS_LATE, FIRST_FAULT_MILLIS, blipAt, 20 + random.nextInt(60), 0));
    return faults;
  }

  private static List<Fault> randomFaults(Random random, int members, int zones, int serversPerZone) {
    List<Fault> faults = new ArrayList<>();
    // At least one zone fails, so that there is something to decide.
    faults.add(randomFault(Fault.Kind.ZONE_DIES, random, members, zones, serversPerZone));
    for (int remaining = 3 + random.nextInt(7); remaining > 0; remaining--) {
      Fault.Kind kind = Fault.Kind.values()[random.nextInt(Fault.Kind.values().length)];
      faults.add(randomFault(kind, random, members, zones, serversPerZone));
    }
    return faults;
  }

  private static Fault randomFault(Fault.Kind kind, Random random, int members, int zones, int serversPerZone) {
    long startMillis = FIRST_FAULT_MILLIS + random.nextInt((int) START_RANGE_MILLIS);
    long endMillis = startMillis + (random.nextInt(4) == 0 ? 200 + random.nextInt(800)
        : 1_000 + random.nextInt((int) MAX_DURATION_MILLIS));
    int zone = random.nextInt(zones);
    int member = random.nextInt(members);
    int subsetCount = 1 << Math.min(members, Fault.MAX_MEMBER_BITS);
    int memberBits = 1 + random.nextInt(subsetCount - 2);
    return switch (kind) {
      case ZONE_DIES -> new Fault(kind, startMillis, endMillis, zone, 0);
      case WAY_CUT -> new Fault(kind, startMillis, endMillis, random.nextInt(zones), zone);
      case MEMBER_CUT, LOSSY -> new Fault(kind, startMillis, endMillis, member, zone);
      case FLAPS, ALL_LATE -> new Fault(kind, startMillis, endMillis, random.nextInt(zones * serversPerZone), 0);
      case SPLIT -> new Fault(kind, startMillis, endMillis, memberBits, 0);
      case ONE_WAY -> new Fault(kind, startMillis, endMillis, memberBits, 1 + random.nextInt(subsetCount - 1));
      case ROWS_LATE -> new Fault(kind, startMillis, endMillis, 100 + random.nextInt(2_500), 0);
      case DEAD -> new Fault(kind, startMillis, endMillis, member, random.nextInt(4) == 0 ? 1 : 0);
      case STALLED -> new Fault(kind, startMillis, endMillis, member, 0);
      case ROWS_DROP, REPLAY, ALL_DEAD -> new Fault(kind, startMillis, endMillis, 0, 0);
    };
  }

  /** Returns the end of the last fault. */
  long lastFaultEnd() {
    return faults.stream().mapToLong(Fault::endMillis).max().orElse(FIRST_FAULT_MILLIS);
  }

  boolean isActive(Fault.Kind kind, long trueTime, int target) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind && fault.isActive(trueTime)
        && fault.target() == target);
  }

  boolean isActive(Fault.Kind kind, long trueTime, int target, int parameter) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind && fault.isActive(trueTime)
        && fault.target() == target && fault.parameter() == parameter);
  }

  boolean anyActive(Fault.Kind kind, long trueTime) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind && fault.isActive(trueTime));
  }
}
