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

/** Plans as bytes: the same plan always is the same bytes, and bytes that are not whole are no plan. */
public final class PlanCodec {
  private static final int FORMAT = 1;
  private static final int MOST_BYTES = 32 << 20;

  private PlanCodec() {}

  /** The plan with its digest. */
  public static byte[] encode(Plan plan) {
    ByteString body = body(plan).toByteString();
    return PlanFile.newBuilder().setBody(body).setDigest(ByteString.copyFrom(sha256(body))).build().toByteArray();
  }

  /** The digest by which proxies tell each other which plan they hold: 64 hexadecimal digits. */
  public static String digest(Plan plan) {
    return HexFormat.of().formatHex(sha256(body(plan).toByteString()));
  }

  /** The plan, whole; throws {@link PlanRefused} for anything else. */
  public static Plan decode(byte[] bytes) {
    if (bytes.length > MOST_BYTES) {
      throw new PlanRefused(PlanRefused.Why.GARBLED, "it is larger than " + MOST_BYTES + " bytes");
    }
    try {
      PlanFile file = PlanFile.parseFrom(bytes);
      if (!MessageDigest.isEqual(sha256(file.getBody()), file.getDigest().toByteArray())) {
        throw new PlanRefused(PlanRefused.Why.DIGEST, "its digest is of another content");
      }
      PlanBody body = PlanBody.parseFrom(file.getBody());
      if (body.getFormat() != FORMAT) {
        throw new PlanRefused(PlanRefused.Why.FORMAT, "its format is " + body.getFormat() + "; known: " + FORMAT);
      }
      return plan(body);
    } catch (InvalidProtocolBufferException e) {
      throw new PlanRefused(PlanRefused.Why.GARBLED, "it is cut or garbled: " + e.getMessage());
    }
  }

  private static byte[] sha256(ByteString body) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(body.toByteArray());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  private static PlanBody body(Plan plan) {
    PlanBody.Builder body = PlanBody.newBuilder().setFormat(FORMAT).setFleet(plan.fleet()).setVersion(plan.version())
        .setHeadroomMillionths((int) Math.round(plan.headroom() * 1e6)).addAllFirst(plan.first());
    for (Plan.Zone zone : plan.zones()) {
      body.addZones(PlannedZone.newBuilder().setName(zone.name()).setRegion(zone.region())
          .setDemandMilli(zone.demandMilli()).setCapacityMilli(zone.capacityMilli()));
    }
    for (Plan.Case planned : plan.cases()) {
      PlannedCase.Builder made = PlannedCase.newBuilder().addAllFailed(planned.failed());
      for (int o = 0; o < plan.zones().size(); o++) {
        List<Plan.Weight> weights = planned.origins().get(o);
        if (planned == plan.cases().get(0) || !weights.equals(plan.cases().get(0).origins().get(o))) {
          PlannedOrigin.Builder origin = PlannedOrigin.newBuilder().setZone(o);
          weights.forEach(weight -> origin.addServes(weight.zone()).addWeights(weight.weight()));
          made.addOrigins(origin);
        }
      }
      body.addCases(made);
    }
    return body.build();
  }

  private static Plan plan(PlanBody body) {
    int size = body.getZonesCount();
    List<Plan.Zone> zones = body.getZonesList().stream().map(zone -> new Plan.Zone(zone.getName(), zone.getRegion(),
        zone.getDemandMilli(), zone.getCapacityMilli())).toList();
    List<Plan.Case> cases = new ArrayList<>();
    for (PlannedCase made : body.getCasesList()) {
      List<List<Plan.Weight>> origins = new ArrayList<>(cases.isEmpty()
          ? java.util.Collections.nCopies(size, List.of()) : cases.get(0).origins());
      for (PlannedOrigin origin : made.getOriginsList()) {
        require(origin.getZone() < size && origin.getZone() >= 0, "an origin is no zone");
        origins.set(origin.getZone(), weights(origin, size));
      }
      made.getFailedList().forEach(zone -> require(zone >= 0 && zone < size, "a failed zone is none"));
      cases.add(new Plan.Case(made.getFailedList(), origins));
    }
    require(!cases.isEmpty() && cases.get(0).failed().isEmpty(), "it does not begin with the normal case");
    return new Plan(body.getFleet(), body.getVersion(), body.getHeadroomMillionths() / 1e6, body.getFirstList(), zones,
        cases);
  }

  private static List<Plan.Weight> weights(PlannedOrigin origin, int size) {
    require(origin.getServesCount() == origin.getWeightsCount(), "weights lack their zones");
    List<Plan.Weight> weights = new ArrayList<>();
    long sum = 0;
    for (int i = 0; i < origin.getServesCount(); i++) {
      int zone = origin.getServes(i);
      int weight = origin.getWeights(i);
      require(zone >= 0 && zone < size && weight > 0 && weight <= Plan.WHOLE, "a weight is none");
      weights.add(new Plan.Weight(zone, weight));
      sum += weight;
    }
    require(sum == Plan.WHOLE || weights.isEmpty(), "weights sum to " + sum);
    return List.copyOf(weights);
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new PlanRefused(PlanRefused.Why.GARBLED, what);
    }
  }
}
