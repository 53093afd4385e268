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
public record EvacuationState(Map<Integer, ZoneEpoch> zones, byte[] planDigest) {
  private static final byte[] HEADER = "lemondeal zones 1\n".getBytes(StandardCharsets.US_ASCII);
  private static final int DIGEST_BYTES = 32;
  private static final int MAX_BYTES = 1 << 16;

  /** Nothing was ever left, no plan is in force. */
  public static final EvacuationState NONE = new EvacuationState(Map.of(), new byte[0]);

  /**
   * @param epoch the highest decided one
   * @param relapses how often in a row the zone was left soon after a return
   */
  public record ZoneEpoch(long epoch, int relapses) {}

  /** As it is to be kept. */
  public byte[] encode() {
    SavedEvacuation.Builder wire = SavedEvacuation.newBuilder().setPlan(ByteString.copyFrom(planDigest));
    new TreeMap<>(zones).forEach((zone, saved) -> wire.addZones(SavedZone.newBuilder().setZone(zone)
        .setEpoch(saved.epoch()).setRelapses(saved.relapses())));
    byte[] body = wire.build().toByteArray();
    byte[] encoded = Arrays.copyOf(HEADER, HEADER.length + DIGEST_BYTES + body.length);
    System.arraycopy(sha256(body), 0, encoded, HEADER.length, DIGEST_BYTES);
    System.arraycopy(body, 0, encoded, HEADER.length + DIGEST_BYTES, body.length);
    return encoded;
  }

  /** What was kept; empty where the bytes are cut, damaged, too many or of another version. */
  public static Optional<EvacuationState> decode(byte[] encoded) {
    int bodyOffset = HEADER.length + DIGEST_BYTES;
    if (encoded.length < bodyOffset || encoded.length > MAX_BYTES || !Arrays.equals(encoded, 0, HEADER.length, HEADER, 0, HEADER.length)) {
      return Optional.empty();
    }
    byte[] body = Arrays.copyOfRange(encoded, bodyOffset, encoded.length);
    if (!MessageDigest.isEqual(sha256(body), Arrays.copyOfRange(encoded, HEADER.length, bodyOffset))) {
      return Optional.empty();
    }
    try {
      SavedEvacuation wire = SavedEvacuation.parseFrom(body);
      Map<Integer, ZoneEpoch> zones = new TreeMap<>();
      wire.getZonesList().forEach(zone -> zones.put(zone.getZone(), new ZoneEpoch(zone.getEpoch(), zone.getRelapses())));
      return Optional.of(new EvacuationState(zones, wire.getPlan().toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static byte[] sha256(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }
}
