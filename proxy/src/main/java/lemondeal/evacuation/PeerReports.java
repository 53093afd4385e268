package lemondeal.evacuation;

import java.util.Optional;

/**
 * The newest report of every member, and a lower bound on when it was written. A report's age according to the
 * transport may be wrong if the report was delayed, replayed or stored. Therefore each report echoes a stamp of the
 * newest report that its writer has received of each member: a report that echoes one of ours was written after ours,
 * as measured by our own clock alone.
 */
final class PeerReports {
  private static final long NEVER = Long.MIN_VALUE / 4;
  /**
   * Number of own reports remembered: more than are written at the shortest interval within the longest time to live.
   */
  private static final int OWN_REPORTS = 256;

  private final ZoneMembership membership;
  private final EvacuationReport[] reports;
  private final long[] writtenNoEarlierThan;
  private final int[] ownStamps = new int[OWN_REPORTS];
  private final long[] ownTimes = new long[OWN_REPORTS];
  private final int fleetDigest;
  private int nextOwnSlot;
  private long invalidReports;
  private long unknownOwners;

  PeerReports(ZoneMembership membership) {
    this.membership = membership;
    reports = new EvacuationReport[membership.size()];
    writtenNoEarlierThan = new long[membership.size()];
    java.util.Arrays.fill(writtenNoEarlierThan, NEVER);
    fleetDigest = membership.digest();
  }

  /** Receives a report. One that is not newer is ignored; an invalid one or one of an unknown proxy is counted. */
  void receive(String owner, byte[] content) {
    int memberIndex = membership.indexOf(owner);
    if (memberIndex < 0 || memberIndex == membership.selfIndex()) {
      unknownOwners += memberIndex < 0 ? 1 : 0;
      return;
    }
    Optional<EvacuationReport> decoded = EvacuationReportCodec.decode(content, fleetDigest, membership.size());
    if (decoded.isEmpty()) {
      invalidReports++;
      return;
    }
    EvacuationReport report = decoded.get();
    if (reports[memberIndex] == null || report.isNewerThan(reports[memberIndex])) {
      reports[memberIndex] = report;
      writtenNoEarlierThan[memberIndex] = ownWriteTime(report.echoes()[membership.selfIndex()]);
    }
  }

  private long ownWriteTime(int stamp) {
    for (int i = 0; i < OWN_REPORTS && stamp != 0; i++) {
      if (ownStamps[i] == stamp) {
        return ownTimes[i];
      }
    }
    return NEVER;
  }

  /** Encodes this proxy's next report and records when it was written. */
  byte[] encodeOwn(long incarnation, long sequence, boolean hasFullHistory,
      java.util.Map<Integer, EvacuationReport.ZoneStatus> zones, long now) {
    int[] echoes = new int[reports.length];
    for (int i = 0; i < reports.length; i++) {
      echoes[i] = reports[i] == null ? 0 : EvacuationReport.stamp(reports[i].incarnation(), reports[i].sequence());
    }
    ownStamps[nextOwnSlot] = EvacuationReport.stamp(incarnation, sequence);
    ownTimes[nextOwnSlot] = now;
    nextOwnSlot = (nextOwnSlot + 1) % OWN_REPORTS;
    return EvacuationReportCodec.encode(new EvacuationReport(incarnation, sequence, hasFullHistory, zones, echoes),
        fleetDigest);
  }

  /** The newest report of the member with this index; null if none has been received. */
  EvacuationReport report(int memberIndex) {
    return reports[memberIndex];
  }

  /** Whether the member's newest report was certainly written within the last {@code maxAge} milliseconds. */
  boolean isFresh(int memberIndex, long maxAge, long now) {
    return reports[memberIndex] != null && now - writtenNoEarlierThan[memberIndex] <= maxAge;
  }

  /** Number of peers with a full history whose newest report is fresh. */
  int countFreshPeers(long maxAge, long now) {
    int count = 0;
    for (int i = 0; i < reports.length; i++) {
      count += i != membership.selfIndex() && isFresh(i, maxAge, now) && reports[i].hasFullHistory() ? 1 : 0;
    }
    return count;
  }

  /** Number of reports that were invalid or came from an unknown proxy. */
  long rejectedReports() {
    return invalidReports + unknownOwners;
  }
}
