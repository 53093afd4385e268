package lemondeal.lab.evacuation;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** What goes wrong in a run, made of a seed: at odd ones a zone fails alone, at even ones anything meets anything. */
public record Script(List<Fault> faults) {
  /** Before this nothing is wrong. */
  public static final long FROM = 5_000;
  private static final long SPREAD = 40_000;
  private static final long LONGEST = 15_000;

  /** The faults of a seed, for so many members, zones and servers in each. */
  public static Script of(long seed, int members, int zones, int serversPerZone) {
    Random random = new Random(seed * 31 + 7);
    return new Script(seed % 2 == 0 ? anything(random, members, zones, serversPerZone)
        : oneZone(random, members, zones, serversPerZone));
  }

  private static List<Fault> oneZone(Random random, int members, int zones, int servers) {
    long at = FROM + 3_000 + random.nextInt(5_000);
    List<Fault> faults = new ArrayList<>();
    int zone = random.nextInt(zones);
    faults.add(new Fault(Fault.Kind.ZONE_DIES, at, at + 4_000 + random.nextInt(8_000), zone, 0));
    long blip = at + 40_000;
    faults.add(new Fault(Fault.Kind.ZONE_DIES, blip, blip + 300 + random.nextInt(600), (zone + 1) % zones, 0));
    faults.add(new Fault(Fault.Kind.LOSSY, FROM, blip, random.nextInt(members), random.nextInt(zones)));
    faults.add(new Fault(Fault.Kind.FLAPS, FROM, blip, random.nextInt(zones * servers), 0));
    faults.add(new Fault(Fault.Kind.ROWS_LATE, FROM, blip, 20 + random.nextInt(60), 0));
    return faults;
  }

  private static List<Fault> anything(Random random, int members, int zones, int servers) {
    List<Fault> faults = new ArrayList<>();
    // At least one zone dies, so that there is something to decide.
    faults.add(fault(Fault.Kind.ZONE_DIES, random, members, zones, servers));
    for (int left = 3 + random.nextInt(7); left > 0; left--) {
      Fault.Kind kind = Fault.Kind.values()[random.nextInt(Fault.Kind.values().length)];
      faults.add(fault(kind, random, members, zones, servers));
    }
    return faults;
  }

  private static Fault fault(Fault.Kind kind, Random random, int members, int zones, int servers) {
    long from = FROM + random.nextInt((int) SPREAD);
    long to = from + (random.nextInt(4) == 0 ? 200 + random.nextInt(800) : 1_000 + random.nextInt((int) LONGEST));
    int zone = random.nextInt(zones);
    int member = random.nextInt(members);
    int bits = 1 << Math.min(members, Fault.BITS);
    int some = 1 + random.nextInt(bits - 2);
    return switch (kind) {
      case ZONE_DIES -> new Fault(kind, from, to, zone, 0);
      case WAY_CUT -> new Fault(kind, from, to, random.nextInt(zones), zone);
      case MEMBER_CUT, LOSSY -> new Fault(kind, from, to, member, zone);
      case FLAPS, ALL_LATE -> new Fault(kind, from, to, random.nextInt(zones * servers), 0);
      case SPLIT -> new Fault(kind, from, to, some, 0);
      case ONE_WAY -> new Fault(kind, from, to, some, 1 + random.nextInt(bits - 1));
      case ROWS_LATE -> new Fault(kind, from, to, 100 + random.nextInt(2_500), 0);
      case DEAD -> new Fault(kind, from, to, member, random.nextInt(4) == 0 ? 1 : 0);
      case STALLED -> new Fault(kind, from, to, member, 0);
      case ROWS_DROP, REPLAY, ALL_DEAD -> new Fault(kind, from, to, 0, 0);
    };
  }

  /** When the last fault ends. */
  long to() {
    return faults.stream().mapToLong(Fault::to).max().orElse(FROM);
  }

  boolean on(Fault.Kind kind, long at, int a) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind && fault.on(at) && fault.a() == a);
  }

  boolean on(Fault.Kind kind, long at, int a, int b) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind && fault.on(at) && fault.a() == a && fault.b() == b);
  }

  boolean any(Fault.Kind kind, long at) {
    return faults.stream().anyMatch(fault -> fault.kind() == kind && fault.on(at));
  }
}
