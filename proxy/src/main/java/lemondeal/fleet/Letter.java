package lemondeal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import lemondeal.fleet.wire.FleetEcho;
import lemondeal.fleet.wire.FleetLetter;
import lemondeal.fleet.wire.FleetRow;

/**
 * What one proxy tells one other: its row, and which of the other's rows it has heard.
 *
 * @param echo null where none was heard
 */
public record Letter(Row row, Echo echo) {
  /** The one version that this program tells and knows. */
  static final int VERSION = 1;
  /** A letter is no longer than this: its content, names and numbers. */
  public static final int MOST_BYTES = Row.MOST_CONTENT + 1024;

  /** The number of a row: the receiver's, as the sender heard it last. */
  public record Echo(long incarnation, long sequence) {}

  /** Bytes that are no letter of this version. */
  static final class Unusable extends Exception {
    private static final long serialVersionUID = 1;
    private final Drop why;

    Unusable(Drop why) {
      super(why.name(), null, false, false);
      this.why = why;
    }

    Drop why() {
      return why;
    }
  }

  /** The letter as bytes; {@code waitedMillis} is the time since it was written, by which its row has aged. */
  public byte[] bytes(long waitedMillis) {
    FleetLetter.Builder letter = FleetLetter.newBuilder().setVersion(VERSION).setRow(FleetRow.newBuilder()
        .setOwner(row.owner()).setIncarnation(row.incarnation()).setSequence(row.sequence())
        .setAgeMillis(row.ageMillis() + waitedMillis).setContent(UnsafeByteOperations.unsafeWrap(row.content())));
    if (echo != null) {
      letter.setEcho(FleetEcho.newBuilder().setIncarnation(echo.incarnation()).setSequence(echo.sequence()));
    }
    return letter.build().toByteArray();
  }

  /** Reads a letter; nothing in it is believed yet. */
  static Letter read(byte[] bytes) throws Unusable {
    if (bytes.length > MOST_BYTES) {
      throw new Unusable(Drop.TOO_LARGE);
    }
    FleetLetter letter;
    try {
      letter = FleetLetter.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new Unusable(Drop.GARBLED);
    }
    if (letter.getVersion() > VERSION) {
      throw new Unusable(Drop.NEWER_VERSION);
    }
    FleetRow row = letter.getRow();
    if (row.getContent().size() > Row.MOST_CONTENT) {
      throw new Unusable(Drop.TOO_LARGE);
    }
    if (letter.getVersion() != VERSION || row.getOwner().isEmpty() || row.getIncarnation() <= 0
        || row.getSequence() <= 0 || row.getAgeMillis() < 0) {
      throw new Unusable(Drop.GARBLED);
    }
    return new Letter(new Row(row.getOwner(), row.getIncarnation(), row.getSequence(), row.getAgeMillis(),
        row.getContent().toByteArray()),
        letter.hasEcho() ? new Echo(letter.getEcho().getIncarnation(), letter.getEcho().getSequence()) : null);
  }
}
