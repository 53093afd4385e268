package lemondeal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnsafeByteOperations;
import lemondeal.fleet.wire.FleetEcho;
import lemondeal.fleet.wire.FleetLetter;
import lemondeal.fleet.wire.FleetRow;

/**
 * A message from one proxy to another: the sender's row, and which of the receiver's rows it received last.
 *
 * @param echo null if none was received
 */
public record FleetMessage(MemberRow row, Echo echo) {
  /** The only version that this program sends and accepts. */
  static final int VERSION = 1;
  /** Largest size of a message: its content, names and numbers. */
  public static final int MAX_BYTES = MemberRow.MAX_CONTENT_BYTES + 1024;

  /** Identifies the receiver's row that the sender received last. */
  public record Echo(long incarnation, long sequence) {}

  /** The bytes are not a message of this version. */
  static final class InvalidMessageException extends Exception {
    private static final long serialVersionUID = 1;
    private final DropReason reason;

    InvalidMessageException(DropReason reason) {
      super(reason.name(), null, false, false);
      this.reason = reason;
    }

    DropReason reason() {
      return reason;
    }
  }

  /** Encodes the message; {@code queuedMillis} is the time since it was created, which is added to its row's age. */
  public byte[] encode(long queuedMillis) {
    FleetLetter.Builder builder = FleetLetter.newBuilder().setVersion(VERSION).setRow(FleetRow.newBuilder()
        .setOwner(row.owner()).setIncarnation(row.incarnation()).setSequence(row.sequence())
        .setAgeMillis(row.ageMillis() + queuedMillis).setContent(UnsafeByteOperations.unsafeWrap(row.content())));
    if (echo != null) {
      builder.setEcho(FleetEcho.newBuilder().setIncarnation(echo.incarnation()).setSequence(echo.sequence()));
    }
    return builder.build().toByteArray();
  }

  /** Decodes a message; nothing in it has been verified yet. */
  static FleetMessage decode(byte[] bytes) throws InvalidMessageException {
    if (bytes.length > MAX_BYTES) {
      throw new InvalidMessageException(DropReason.TOO_LARGE);
    }
    FleetLetter wire;
    try {
      wire = FleetLetter.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new InvalidMessageException(DropReason.GARBLED);
    }
    if (wire.getVersion() > VERSION) {
      throw new InvalidMessageException(DropReason.NEWER_VERSION);
    }
    FleetRow wireRow = wire.getRow();
    if (wireRow.getContent().size() > MemberRow.MAX_CONTENT_BYTES) {
      throw new InvalidMessageException(DropReason.TOO_LARGE);
    }
    if (wire.getVersion() != VERSION || wireRow.getOwner().isEmpty() || wireRow.getIncarnation() <= 0
        || wireRow.getSequence() <= 0 || wireRow.getAgeMillis() < 0) {
      throw new InvalidMessageException(DropReason.GARBLED);
    }
    return new FleetMessage(new MemberRow(wireRow.getOwner(), wireRow.getIncarnation(), wireRow.getSequence(),
        wireRow.getAgeMillis(), wireRow.getContent().toByteArray()),
        wire.hasEcho() ? new Echo(wire.getEcho().getIncarnation(), wire.getEcho().getSequence()) : null);
  }
}
