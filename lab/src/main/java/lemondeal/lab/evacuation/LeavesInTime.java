package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import lemondeal.evacuation.Evacuation;

/** Where a zone fails alone, a majority knows within 2 s that it is left, and within 3 s nobody sends there. */
public final class LeavesInTime extends Checker {
  private static final long DECIDED = 2_000;
  private static final long STOPPED = 3_000;

  /** A zone's failure, and who has left it for that. */
  private static final class Failure {
    final long at;
    final Set<Integer> left = new HashSet<>();
    long majorityAt = -1;
    boolean returned;

    Failure(long at) {
      this.at = at;
    }
  }

  private final Map<Integer, Failure> failures = new HashMap<>();
  private final int members;
  private long slowest = -1;

  public LeavesInTime(int members) {
    this.members = members;
  }

  @Override
  public void failsAlone(long at, int zone) {
    failures.put(zone, new Failure(at));
  }

  @Override
  public void decided(long at, int member, Evacuation.Decision decided) {
    Failure failure = failures.get(decided.zone());
    if (failure == null) {
      return;
    }
    if (!decided.evacuates()) {
      failure.returned = true;
    } else if (failure.left.add(member) && failure.majorityAt < 0 && failure.left.size() * 2 > members) {
      failure.majorityAt = at;
      slowest = Math.max(slowest, at - failure.at);
      if (at - failure.at > DECIDED) {
        breach(at + " ms: a majority knows of zone " + decided.zone() + " after " + (at - failure.at) + " ms");
      }
    }
  }

  @Override
  public void sent(long at, int member, int zone, int key, int server) {
    Failure failure = failures.get(zone);
    if (failure != null && !failure.returned && at - failure.at > STOPPED) {
      breach(at + " ms: member " + member + " still sends to zone " + zone + ", failed since " + failure.at);
    }
  }

  @Override
  public void over(long at, boolean allOpen) {
    failures.forEach((zone, failure) -> {
      if (failure.majorityAt < 0) {
        breach("zone " + zone + " failed at " + failure.at + " ms and was never left");
      }
    });
  }

  /** Milliseconds that it took at most until a majority knew; -1 where no zone failed alone. */
  public long slowest() {
    return slowest;
  }
}
