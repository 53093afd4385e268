package lemondeal.evacuation;

import java.util.Optional;

/**
 * The newest row of every named proxy, and how fresh each is for certain. A row's age as the transport tells it may be
 * wrong by whatever delayed, replayed or kept the row. So rows echo stamps: one that echoes ours was written after ours
 * was, by our own clock alone.
 */
final class PeerReports {
  private static final long NEVER = Long.MIN_VALUE / 4;
  /** Own rows remembered: more than the longest life at the shortest pace. */
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

  /** Takes a row in; rows that say nothing new are left, and unusable ones counted. */
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

  /** The own next row, written now. */
  byte[] encodeOwn(long incarnation, long sequence, boolean hasFullHistory, java.util.Map<Integer, EvacuationReport.ZoneStatus> zones, long now) {
    int[] echoes = new int[reports.length];
    for (int i = 0; i < reports.length; i++) {
      echoes[i] = reports[i] == null ? 0 : EvacuationReport.stamp(reports[i].incarnation(), reports[i].sequence());
    }
    ownStamps[nextOwnSlot] = EvacuationReport.stamp(incarnation, sequence);
    ownTimes[nextOwnSlot] = now;
    nextOwnSlot = (nextOwnSlot + 1) % OWN_REPORTS;
    return EvacuationReportCodec.encode(new EvacuationReport(incarnation, sequence, hasFullHistory, zones, echoes), fleetDigest);
  }

  /** The newest row of the proxy at this place; null where none came. */
  EvacuationReport report(int memberIndex) {
    return reports[memberIndex];
  }

  /** Whether that row was written within the last {@code life} milliseconds for certain. */
  boolean isFresh(int memberIndex, long maxAge, long now) {
    return reports[memberIndex] != null && now - writtenNoEarlierThan[memberIndex] <= maxAge;
  }

  /** Others that have answered within that time and forgot nothing. */
  int answeredPeers(long maxAge, long now) {
    int count = 0;
    for (int i = 0; i < reports.length; i++) {
      count += i != membership.selfIndex() && isFresh(i, maxAge, now) && reports[i].hasFullHistory() ? 1 : 0;
    }
    return count;
  }

  /** Rows that could not be used, and rows of owners that nobody named. */
  long ignoredReports() {
    return invalidReports + unknownOwners;
  }
}
