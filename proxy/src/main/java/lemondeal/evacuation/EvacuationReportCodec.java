package lemondeal.evacuation;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondeal.evacuation.wire.EvacuationRow;
import lemondeal.evacuation.wire.ZoneWord;

/**
 * Encodes and decodes reports. A report that is too long, malformed, contains impossible values, or is of another fleet
 * or version is rejected as a whole: a partly decoded one could carry a vote.
 */
final class EvacuationReportCodec {
  private static final int VERSION = 1;
  static final int MAX_BYTES = 16_384;
  private static final int MAX_ZONES = 64;
  private static final int MAX_LOANS = 256;
  private static final int MAX_RELAPSES = 16;
  private static final long MAX_EPOCH = 1L << 40;
  private static final int MAX_MILLI_RATE = 1_000_000_000;

  private EvacuationReportCodec() {}

  static byte[] encode(EvacuationReport report, int fleetDigest) {
    EvacuationRow.Builder wire = EvacuationRow.newBuilder().setVersion(VERSION).setFleet(fleetDigest)
        .setIncarnation(report.incarnation()).setBeat(report.sequence()).setRemembers(report.hasFullHistory());
    report.zones().forEach((zone, status) -> wire.addZones(encode(zone, status)));
    for (int stamp : report.echoes()) {
      wire.addEcho(stamp);
    }
    return wire.build().toByteArray();
  }

  private static ZoneWord encode(int zone, EvacuationReport.ZoneStatus status) {
    ZoneWord.Builder wire = ZoneWord.newBuilder().setZone(zone).setEpoch(status.epoch())
        .setVotes(status.votesForNextEpoch()).setSeen(status.reachability().ordinal()).setOpened(status.fullyOpen())
        .setRelapses(status.relapses()).setWants(status.wantedMilliRate());
    for (EvacuationReport.Loan loan : status.loans()) {
      wire.addLoans(lemondeal.evacuation.wire.Loan.newBuilder().setTo(loan.borrower()).setRate(loan.milliRate()));
    }
    return wire.build();
  }

  static Optional<EvacuationReport> decode(byte[] bytes, int fleetDigest, int memberCount) {
    if (bytes.length > MAX_BYTES) {
      return Optional.empty();
    }
    try {
      EvacuationRow wire = EvacuationRow.parseFrom(bytes);
      boolean accepted = wire.getVersion() == VERSION && wire.getFleet() == fleetDigest
          && wire.getEchoCount() == memberCount && wire.getBeat() > 0 && wire.getZonesCount() <= MAX_ZONES;
      return accepted ? toReport(wire, memberCount) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static Optional<EvacuationReport> toReport(EvacuationRow wire, int memberCount) {
    Map<Integer, EvacuationReport.ZoneStatus> zones = new HashMap<>();
    for (ZoneWord wireZone : wire.getZonesList()) {
      if (!isValid(wireZone, memberCount) || zones.put(wireZone.getZone(), toStatus(wireZone)) != null) {
        return Optional.empty();
      }
    }
    int[] echoes = wire.getEchoList().stream().mapToInt(Integer::intValue).toArray();
    return Optional.of(new EvacuationReport(wire.getIncarnation(), wire.getBeat(), wire.getRemembers(), zones, echoes));
  }

  private static boolean isValid(ZoneWord wireZone, int memberCount) {
    return wireZone.getZone() >= 0 && wireZone.getEpoch() >= 0 && wireZone.getEpoch() <= MAX_EPOCH
        && wireZone.getSeen() >= 0 && wireZone.getSeen() < Reachability.values().length
        && wireZone.getRelapses() >= 0 && wireZone.getRelapses() <= MAX_RELAPSES
        && isValidRate(wireZone.getWants()) && wireZone.getLoansCount() <= MAX_LOANS
        && wireZone.getLoansList().stream().allMatch(loan -> isValidRate(loan.getRate()) && loan.getTo() >= 0
            && loan.getTo() < memberCount);
  }

  private static boolean isValidRate(int milliRate) {
    return milliRate >= 0 && milliRate <= MAX_MILLI_RATE;
  }

  private static EvacuationReport.ZoneStatus toStatus(ZoneWord wireZone) {
    List<EvacuationReport.Loan> loans = new ArrayList<>(wireZone.getLoansCount());
    wireZone.getLoansList().forEach(loan -> loans.add(new EvacuationReport.Loan(loan.getTo(), loan.getRate())));
    return new EvacuationReport.ZoneStatus(wireZone.getEpoch(), wireZone.getVotes(),
        Reachability.values()[wireZone.getSeen()], wireZone.getOpened(), wireZone.getRelapses(), wireZone.getWants(),
        loans);
  }
}
