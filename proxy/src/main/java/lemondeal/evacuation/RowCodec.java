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
 * Rows to bytes and back. A row that is too large, can't be read, says what no proxy says, or is of another fleet or
 * version is nothing at all: half of it could be a vote.
 */
final class RowCodec {
  private static final int VERSION = 1;
  static final int MOST_BYTES = 16_384;
  private static final int MOST_ZONES = 64;
  private static final int MOST_LOANS = 256;
  private static final int MOST_RELAPSES = 16;
  private static final long MOST_EPOCH = 1L << 40;
  private static final int MOST_RATE = 1_000_000_000;

  private RowCodec() {}

  static byte[] write(Row row, int fleet) {
    EvacuationRow.Builder wire = EvacuationRow.newBuilder().setVersion(VERSION).setFleet(fleet)
        .setIncarnation(row.incarnation()).setBeat(row.beat()).setRemembers(row.remembers());
    row.zones().forEach((zone, word) -> wire.addZones(write(zone, word)));
    for (int stamp : row.echo()) {
      wire.addEcho(stamp);
    }
    return wire.build().toByteArray();
  }

  private static ZoneWord write(int zone, Row.Word word) {
    ZoneWord.Builder wire = ZoneWord.newBuilder().setZone(zone).setEpoch(word.epoch()).setVotes(word.votes())
        .setSeen(word.seen().ordinal()).setOpened(word.opened()).setRelapses(word.relapses()).setWants(word.wants());
    for (Row.Loan loan : word.loans()) {
      wire.addLoans(lemondeal.evacuation.wire.Loan.newBuilder().setTo(loan.to()).setRate(loan.rate()));
    }
    return wire.build();
  }

  static Optional<Row> read(byte[] bytes, int fleet, int members) {
    if (bytes.length > MOST_BYTES) {
      return Optional.empty();
    }
    try {
      EvacuationRow wire = EvacuationRow.parseFrom(bytes);
      boolean ours = wire.getVersion() == VERSION && wire.getFleet() == fleet && wire.getEchoCount() == members
          && wire.getBeat() > 0 && wire.getZonesCount() <= MOST_ZONES;
      return ours ? row(wire, members) : Optional.empty();
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static Optional<Row> row(EvacuationRow wire, int members) {
    Map<Integer, Row.Word> zones = new HashMap<>();
    for (ZoneWord word : wire.getZonesList()) {
      if (!sound(word, members) || zones.put(word.getZone(), word(word)) != null) {
        return Optional.empty();
      }
    }
    int[] echo = wire.getEchoList().stream().mapToInt(Integer::intValue).toArray();
    return Optional.of(new Row(wire.getIncarnation(), wire.getBeat(), wire.getRemembers(), zones, echo));
  }

  private static boolean sound(ZoneWord word, int members) {
    return word.getZone() >= 0 && word.getEpoch() >= 0 && word.getEpoch() <= MOST_EPOCH
        && word.getSeen() >= 0 && word.getSeen() < Seen.values().length
        && word.getRelapses() >= 0 && word.getRelapses() <= MOST_RELAPSES
        && rate(word.getWants()) && word.getLoansCount() <= MOST_LOANS
        && word.getLoansList().stream().allMatch(loan -> rate(loan.getRate()) && loan.getTo() >= 0
            && loan.getTo() < members);
  }

  private static boolean rate(int thousandths) {
    return thousandths >= 0 && thousandths <= MOST_RATE;
  }

  private static Row.Word word(ZoneWord wire) {
    List<Row.Loan> loans = new ArrayList<>(wire.getLoansCount());
    wire.getLoansList().forEach(loan -> loans.add(new Row.Loan(loan.getTo(), loan.getRate())));
    return new Row.Word(wire.getEpoch(), wire.getVotes(), Seen.values()[wire.getSeen()], wire.getOpened(),
        wire.getRelapses(), wire.getWants(), loans);
  }
}
