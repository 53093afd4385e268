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
 * State that must survive a simultaneous crash of all proxies: the decided epochs, and which plan was in force. Encoded
 * as a line with the format's version, the SHA-256 of the body, and the body; it is accepted only if it is intact.
 *
 * @param zones by zone; a zone that was never evacuated may be absent
 * @param planDigest of the plan in force; empty if there is none
 */
public record EvacuationState(Map<Integer, ZoneEpoch> zones, byte[] planDigest) {
  private static final byte[] HEADER = "lemondeal zones 1\n".getBytes(StandardCharsets.US_ASCII);
  private static final int DIGEST_BYTES = 32;
  private static final int MAX_BYTES = 1 << 16;

  /** No zone was ever evacuated, and no plan is in force. */
  public static final EvacuationState NONE = new EvacuationState(Map.of(), new byte[0]);

  /**
   * @param epoch the highest decided epoch
   * @param relapses number of consecutive evacuations that each followed soon after a return
   */
  public record ZoneEpoch(long epoch, int relapses) {}

  /** Encodes this state for storage. */
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

  /** Decodes stored state; empty if the bytes are truncated, damaged, too long or of another version. */
  public static Optional<EvacuationState> decode(byte[] encoded) {
    int bodyOffset = HEADER.length + DIGEST_BYTES;
    if (encoded.length < bodyOffset || encoded.length > MAX_BYTES
        || !Arrays.equals(encoded, 0, HEADER.length, HEADER, 0, HEADER.length)) {
      return Optional.empty();
    }
    byte[] body = Arrays.copyOfRange(encoded, bodyOffset, encoded.length);
    if (!MessageDigest.isEqual(sha256(body), Arrays.copyOfRange(encoded, HEADER.length, bodyOffset))) {
      return Optional.empty();
    }
    try {
      SavedEvacuation wire = SavedEvacuation.parseFrom(body);
      Map<Integer, ZoneEpoch> zones = new TreeMap<>();
      wire.getZonesList()
          .forEach(zone -> zones.put(zone.getZone(), new ZoneEpoch(zone.getEpoch(), zone.getRelapses())));
      return Optional.of(new EvacuationState(zones, wire.getPlan().toByteArray()));
    } catch (InvalidProtocolBufferException e) {
      return Optional.empty();
    }
  }

  private static byte[] sha256(byte[] bytes) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(bytes);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
