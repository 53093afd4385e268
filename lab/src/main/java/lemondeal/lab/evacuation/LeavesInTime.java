package lemondeal.lab.evacuation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import lemondeal.evacuation.Evacuation;

/**
 * When a zone fails in isolation, a majority knows of its evacuation within 2 s, and no member sends there after 3 s.
 */
public final class LeavesInTime extends InvariantChecker {
  private static final long DECISION_LIMIT_MILLIS = 2_000;
  private static final long STOP_LIMIT_MILLIS = 3_000;

  /** A zone's failure, and the members that have evacuated the zone since. */
  private static final class ZoneFailure {
    final long failedAt;
    final Set<Integer> evacuatedMembers = new HashSet<>();
    long majorityAt = -1;
    boolean returned;

    ZoneFailure(long failedAt) {
      this.failedAt = failedAt;
    }
  }

  private final Map<Integer, ZoneFailure> failures = new HashMap<>();
  private final int members;
  private long slowestMajorityMillis = -1;

  public LeavesInTime(int members) {
    this.members = members;
  }

  @Override
  public void onIsolatedZoneFailure(long trueTime, int zone) {
    failures.put(zone, new ZoneFailure(trueTime));
  }

  @Override
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    ZoneFailure failure = failures.get(decision.zone());
    if (failure == null) {
      return;
    }
    if (!decision.evacuates()) {
      failure.returned = true;
    } else if (failure.evacuatedMembers.add(member) && failure.majorityAt < 0
        && failure.evacuatedMembers.size() * 2 > members) {
      failure.majorityAt = trueTime;
      slowestMajorityMillis = Math.max(slowestMajorityMillis, trueTime - failure.failedAt);
      if (trueTime - failure.failedAt > DECISION_LIMIT_MILLIS) {
        reportBreach(trueTime + " ms: a majority knows of zone " + decision.zone() + " after "
            + (trueTime - failure.failedAt) + " ms");
      }
    }
  }

  @Override
  public void onSend(long trueTime, int member, int zone, int key, int server) {
    ZoneFailure failure = failures.get(zone);
    if (failure != null && !failure.returned && trueTime - failure.failedAt > STOP_LIMIT_MILLIS) {
      reportBreach(trueTime + " ms: member " + member + " still sends to zone " + zone + ", failed since "
          + failure.failedAt);
    }
  }

  @Override
  public void onEnd(long trueTime, boolean allZonesOpen) {
    failures.forEach((zone, failure) -> {
      if (failure.majorityAt < 0) {
        reportBreach("zone " + zone + " failed at " + failure.failedAt + " ms and was never evacuated");
      }
    });
  }

  /** Returns the longest time until a majority knew of an evacuation; -1 if no zone failed in isolation. */
  public long slowestMajorityMillis() {
    return slowestMajorityMillis;
  }
}
