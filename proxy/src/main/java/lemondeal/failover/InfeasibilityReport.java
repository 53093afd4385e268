package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lemondeal.operator.Fault;

/**
 * Explains why a policy is infeasible: the smallest infeasible case, its sums, the binding limits, and the smallest
 * change of each kind that makes all cases feasible. The sums come from a certificate, so that an operator can check
 * them.
 */
final class InfeasibilityReport {
  private final PolicyModel model;
  private final List<FailureCase> infeasible;

  /** @param infeasible the infeasible cases, the smallest first */
  InfeasibilityReport(PolicyModel model, List<FailureCase> infeasible) {
    this.model = model;
    this.infeasible = infeasible;
  }

  /** One fault for the case and one for each sufficient change. */
  List<Fault> faults() {
    List<Fault> faults = new ArrayList<>();
    faults.add(smallestCaseFault());
    LeastChange leastChange = new LeastChange(model, infeasible);
    List<Fault> changes = new ArrayList<>();
    leastChange.moreCapacity().ifPresent(change -> changes.add(changeFault(change)));
    leastChange.lessHeadroom().ifPresent(change -> changes.add(changeFault(change)));
    leastChange.moreCrossing().ifPresent(change -> changes.add(changeFault(change)));
    if (changes.isEmpty()) {
      Optional<LeastChange.Change> combined = leastChange.moreCapacityAndCrossing();
      changes.add(combined.isPresent() ? changeFault(combined.get()) : missingHelperFault());
    }
    for (Fault change : changes) {
      String prefix = faults.size() == 1 ? "the least change: " : "or: ";
      faults.add(new Fault(change.file(), change.line(), change.column(), prefix + change.message()));
    }
    return faults;
  }

  private Fault smallestCaseFault() {
    FailureCase failure = infeasible.get(0);
    boolean[] failed = failure.mask(model.zoneCount());
    FlowBounds bounds = FlowBounds.of(model);
    InfeasibilityCertificate certificate = CertificateFinder.sparsest(model, bounds, failed);
    List<Integer> origins = InfeasibilityCertificate.nonZero(certificate.originShares());
    double demand = origins.stream().mapToDouble(model::demand).sum();
    List<Integer> zones = certificate.countsCrossings() ? helpers(origins, failed)
        : InfeasibilityCertificate.nonZero(certificate.zoneShares());
    String available = zones.isEmpty() ? "no zone may serve: 0"
        : zoneNames(zones) + (zones.size() == 1 ? " serves " : " serve ")
            + MessageText.decimal(demand - certificate.shortfall(model, bounds));
    String text = failure.describe(model) + ", " + available + " of " + MessageText.decimal(demand) + " (the demand of "
        + zoneNames(origins) + ")" + bindingBounds(certificate);
    String remark = infeasible.size() == 1 ? "" : "; the smallest of " + infeasible.size() + " infeasible cases";
    return failure.location().fault(text + remark);
  }

  private List<Integer> helpers(List<Integer> origins, boolean[] failed) {
    return IntStream.range(0, model.zoneCount()).filter(zone -> !failed[zone] && origins.stream().anyMatch(origin ->
        model.zone(origin).helpers().stream().anyMatch(helper -> helper.zone() == zone))).boxed().toList();
  }

  private String zoneNames(List<Integer> zones) {
    return MessageText.join(zones.stream().map(zone -> model.zone(zone).name()).toList());
  }

  private String bindingBounds(InfeasibilityCertificate certificate) {
    List<String> bounds = new ArrayList<>();
    for (int zone : InfeasibilityCertificate.nonZero(certificate.zoneShares())) {
      bounds.add("capacity of " + model.zone(zone).name() + " (" + MessageText.decimal(model.usableCapacity()[zone])
          + " usable of " + MessageText.decimal(model.zone(zone).capacity()) + ", line "
          + model.zone(zone).capacityLocation().line() + ")");
    }
    if (certificate.zoneCrossingShare() > 0) {
      bounds.add("cross.zones (" + MessageText.decimal(model.maxCrossZoneShare()) + ", line "
          + model.boundLocations().maxCrossZoneShare().line() + ")");
    }
    if (certificate.regionCrossingShare() > 0) {
      bounds.add("cross.regions (" + MessageText.decimal(model.maxCrossRegionShare()) + ", line "
          + model.boundLocations().maxCrossRegionShare().line() + ")");
    }
    return bounds.isEmpty() ? "" : "; binding: " + MessageText.join(bounds);
  }

  private Fault changeFault(LeastChange.Change change) {
    List<String> parts = new ArrayList<>();
    List<SourceLocation> locations = new ArrayList<>();
    for (int zone = 0; zone < model.zoneCount(); zone++) {
      if (change.addedCapacity()[zone] > 0) {
        PolicyModel.Zone modelZone = model.zone(zone);
        parts.add("zones." + modelZone.name() + ".capacity "
            + describeChange(modelZone.capacity(), modelZone.capacity() + change.addedCapacity()[zone]));
        locations.add(modelZone.capacityLocation());
      }
    }
    addChange(parts, locations, "headroom", model.headroom(), change.headroom(), model.boundLocations().headroom());
    addChange(parts, locations, "cross.zones", model.maxCrossZoneShare(), change.maxCrossZoneShare(),
        model.boundLocations().maxCrossZoneShare());
    addChange(parts, locations, "cross.regions", model.maxCrossRegionShare(), change.maxCrossRegionShare(),
        model.boundLocations().maxCrossRegionShare());
    return locations.get(0).fault(parts.stream().collect(Collectors.joining(", ")));
  }

  private static void addChange(List<String> parts, List<SourceLocation> locations, String name, double current,
      double proposed, SourceLocation location) {
    if (current != proposed) {
      parts.add(name + " " + describeChange(current, proposed));
      locations.add(location);
    }
  }

  private static String describeChange(double current, double proposed) {
    return MessageText.decimal(proposed) + " instead of " + MessageText.decimal(current);
  }

  /** Asks for another helper of an origin that no zone may serve in some case, whatever the bounds. */
  private Fault missingHelperFault() {
    for (FailureCase failure : infeasible) {
      boolean[] failed = failure.mask(model.zoneCount());
      for (int origin = 0; origin < model.zoneCount(); origin++) {
        if (model.demand(origin) > 0 && helpers(List.of(origin), failed).isEmpty()) {
          return model.zone(origin).location().fault("a zone that may serve " + model.zone(origin).name() + " "
              + failure.describe(model));
        }
      }
    }
    return infeasible.get(0).location().fault("no change of capacity, headroom or crossing limits is sufficient");
  }
}
