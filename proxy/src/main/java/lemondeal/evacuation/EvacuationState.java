package lemondeal.evacuation;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import lemondeal.evacuation.wire.SavedEvacuation;
import lemondeal.evacuation.wire.SavedZone;

/**
 * What must outlive a crash of all proxies at once: the decided epochs, and which plan was in force. As bytes it is a
 * line with the format's version, a SHA-256 of the rest and the rest; it is read whole or not at all.
 *
 * @param zones by zone; one that was never left may be absent
 * @param plan digest of the plan in force, empty for none
 */
public record EvacuationState(Map<Integer, Zone> zones, byte[] plan) {
  private static final byte[] MAGIC = "lemondeal zones 1\n".getBytes(StandardCharsets.US_ASCII);
  private static final int DIGEST = 32;
  private static final int MOST_BYTES = 1 << 16;

  /** Nothing was ever left, no plan is in force. */
  public static final EvacuationState NONE = new EvacuationState(Map.of(), new byte[0]);

  /**
   * @param epoch the highest decided one
   * @param relapses how often in a row the zone was left soon after a return
   */
  public record Zone(long epoch, int relapses) {}

  /** As it is to be kept. */
  public byte[] encode() {
    SavedEvacuation.Builder wire = SavedEvacuation.newBuilder().setPlan(ByteString.copyFrom(plan));
    new TreeMap<>(zones).forEach((zone, state) -> wire.addZones(SavedZone.newBuilder().setZone(zone)
        .setEpoch(state.epoch()).setRelapses(state.relapses())));
    byte[] body = wire.build().toByteArray();
    byte[] all = Arrays.copyOf(MAGIC, MAGIC.length + DIGEST + body.length);
    System.arraycopy(digest(body), 0, all, MAGIC.length, DIGEST);
    System.arraycopy(body, 0, all, MAGIC.length + DIGEST, body.length);
    return all;
  }

  /** What was kept; empty where the bytes are cut, damaged, too many or of another version. */
  public static Optional<EvacuationState> decode(byte[] all) {
    int from = MAGIC.length + DIGEST;
    if (all.length < from || all.length > MOST_BYTES || !Arrays.equals(all, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
      return Optional.empty();
    }
    byte[] body = Arrays.copyOfRange(all, from, all.length);
    if (!MessageDigest.isEqual(digest(body), Arrays.copyOfRange(all, MAGIC.length, from))) {
      return Optional.empty();
    }
    try {
      SavedEvacuation wire = SavedEvacuation.parseFrom(body);
      Map<Integer, Zone> zones = new TreeMap<>();
      wire.getZonesList().forEach(zone -> zones.put(zone.getZone(), new Zone(zone.getEpoch(), zone.getRelapses())));
      return Optional.of(new EvacuationState(zones, wire.getPlan().toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static byte[] digest(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
