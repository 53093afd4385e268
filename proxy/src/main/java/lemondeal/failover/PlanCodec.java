package lemondeal.failover;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import lemondeal.failover.wire.PlanBody;
import lemondeal.failover.wire.PlanFile;
import lemondeal.failover.wire.PlannedCase;
import lemondeal.failover.wire.PlannedOrigin;
import lemondeal.failover.wire.PlannedZone;

/** Encodes plans deterministically, and rejects truncated or corrupt bytes when decoding. */
public final class PlanCodec {
  private static final int FORMAT = 1;
  private static final int MAX_BYTES = 32 << 20;

  private PlanCodec() {}

  /** Encodes the plan with its digest. */
  public static byte[] encode(Plan plan) {
    ByteString body = encodeBody(plan).toByteString();
    return PlanFile.newBuilder().setBody(body).setDigest(ByteString.copyFrom(sha256(body))).build().toByteArray();
  }

  /** The digest that identifies the plan between proxies: SHA-256 as 64 hexadecimal digits. */
  public static String digest(Plan plan) {
    return HexFormat.of().formatHex(sha256(encodeBody(plan).toByteString()));
  }

  /** Decodes a plan; throws {@link PlanRejectedException} for anything that is not a complete and valid one. */
  public static Plan decode(byte[] bytes) {
    if (bytes.length > MAX_BYTES) {
      throw new PlanRejectedException(PlanRejectedException.Reason.GARBLED,
          "it is larger than " + MAX_BYTES + " bytes");
    }
    try {
      PlanFile file = PlanFile.parseFrom(bytes);
      if (!MessageDigest.isEqual(sha256(file.getBody()), file.getDigest().toByteArray())) {
        throw new PlanRejectedException(PlanRejectedException.Reason.DIGEST, "its digest does not match its content");
      }
      PlanBody body = PlanBody.parseFrom(file.getBody());
      if (body.getFormat() != FORMAT) {
        throw new PlanRejectedException(PlanRejectedException.Reason.FORMAT,
            "its format is " + body.getFormat() + "; supported: " + FORMAT);
      }
      return decodeBody(body);
    } catch (InvalidProtocolBufferException e) {
      throw new PlanRejectedException(PlanRejectedException.Reason.GARBLED,
          "it is truncated or corrupt: " + e.getMessage());
    }
  }

  private static byte[] sha256(ByteString body) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(body.toByteArray());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static PlanBody encodeBody(Plan plan) {
    PlanBody.Builder body = PlanBody.newBuilder().setFormat(FORMAT).setFleet(plan.fleet()).setVersion(plan.version())
        .setHeadroomMillionths((int) Math.round(plan.headroom() * 1e6)).addAllFirst(plan.priorityClasses());
    for (Plan.Zone planZone : plan.zones()) {
      body.addZones(PlannedZone.newBuilder().setName(planZone.name()).setRegion(planZone.region())
          .setDemandMilli(planZone.demandMilli()).setCapacityMilli(planZone.capacityMilli()));
    }
    for (Plan.Case plannedCase : plan.cases()) {
      PlannedCase.Builder encodedCase = PlannedCase.newBuilder().addAllFailed(plannedCase.failed());
      for (int zone = 0; zone < plan.zones().size(); zone++) {
        List<Plan.Weight> weights = plannedCase.origins().get(zone);
        if (plannedCase == plan.cases().get(0) || !weights.equals(plan.cases().get(0).origins().get(zone))) {
          PlannedOrigin.Builder origin = PlannedOrigin.newBuilder().setZone(zone);
          weights.forEach(weight -> origin.addServes(weight.zone()).addWeights(weight.weight()));
          encodedCase.addOrigins(origin);
        }
      }
      body.addCases(encodedCase);
    }
    return body.build();
  }

  private static Plan decodeBody(PlanBody body) {
    int zoneCount = body.getZonesCount();
    List<Plan.Zone> zones = body.getZonesList().stream().map(zone -> new Plan.Zone(zone.getName(), zone.getRegion(),
        zone.getDemandMilli(), zone.getCapacityMilli())).toList();
    List<Plan.Case> cases = new ArrayList<>();
    for (PlannedCase encodedCase : body.getCasesList()) {
      List<List<Plan.Weight>> origins = new ArrayList<>(cases.isEmpty()
          ? java.util.Collections.nCopies(zoneCount, List.of()) : cases.get(0).origins());
      for (PlannedOrigin origin : encodedCase.getOriginsList()) {
        require(origin.getZone() < zoneCount && origin.getZone() >= 0, "an origin is not a zone");
        origins.set(origin.getZone(), weights(origin, zoneCount));
      }
      encodedCase.getFailedList().forEach(zone -> require(zone >= 0 && zone < zoneCount, "a failed zone is unknown"));
      cases.add(new Plan.Case(encodedCase.getFailedList(), origins));
    }
    require(!cases.isEmpty() && cases.get(0).failed().isEmpty(), "it does not begin with the normal case");
    return new Plan(body.getFleet(), body.getVersion(), body.getHeadroomMillionths() / 1e6, body.getFirstList(), zones,
        cases);
  }

  private static List<Plan.Weight> weights(PlannedOrigin origin, int zoneCount) {
    require(origin.getServesCount() == origin.getWeightsCount(), "weights and zones differ in number");
    List<Plan.Weight> weights = new ArrayList<>();
    long sum = 0;
    for (int i = 0; i < origin.getServesCount(); i++) {
      int zone = origin.getServes(i);
      int weight = origin.getWeights(i);
      require(zone >= 0 && zone < zoneCount && weight > 0 && weight <= Plan.FULL_WEIGHT,
          "a weight or its zone is out of range");
      weights.add(new Plan.Weight(zone, weight));
      sum += weight;
    }
    require(sum == Plan.FULL_WEIGHT || weights.isEmpty(), "weights sum to " + sum);
    return List.copyOf(weights);
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new PlanRejectedException(PlanRejectedException.Reason.GARBLED, message);
    }
  }
}
