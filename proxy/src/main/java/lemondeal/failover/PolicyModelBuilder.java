package lemondeal.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondeal.failover.PolicyModel.Helper;
import lemondeal.failover.PolicySource.WeightedName;
import lemondeal.failover.PolicySource.Step;
import lemondeal.operator.Fault;
import lemondeal.operator.InvalidFileException;

/**
 * Checks what the schema cannot, such as references to zones and regions and sums of weights, and builds the model.
 * Reports all faults at once.
 */
final class PolicyModelBuilder {
  private final PolicySource source;
  private final List<Fault> faults = new ArrayList<>();
  private final TreeMap<String, Integer> zoneIndexes = new TreeMap<>();
  private final TreeMap<String, Integer> regionIndexes = new TreeMap<>();
  private final Map<String, List<String>> zonesByRegion = new TreeMap<>();

  private PolicyModelBuilder(PolicySource source) {
    this.source = source;
  }

  /** Throws {@link InvalidFileException} for a policy that is inconsistent. */
  static PolicyModel build(PolicySource source, Measurements measurements) {
    return new PolicyModelBuilder(source).buildModel(measurements);
  }

  private PolicyModel buildModel(Measurements measurements) {
    source.zones().forEach(zone -> zoneIndexes.put(zone.name(), 0));
    source.regions().forEach(region -> regionIndexes.put(region.name(), 0));
    assignIndexes(zoneIndexes);
    assignIndexes(regionIndexes);
    List<PolicySource.Zone> sorted = new ArrayList<>(source.zones());
    sorted.sort(Comparator.comparing(PolicySource.Zone::name));
    sorted.forEach(zone -> zonesByRegion.computeIfAbsent(zone.region(), none -> new ArrayList<>()).add(zone.name()));
    Map<String, List<Step>> stepsByRegion = checkRegions();
    List<PolicyModel.Zone> zones = new ArrayList<>();
    for (PolicySource.Zone zone : sorted) {
      if (!regionIndexes.containsKey(zone.region())) {
        faults.add(zone.regionLocation().fault("zones." + zone.name() + ".region: unknown region '" + zone.region()
            + "'; allowed: " + String.join(", ", regionIndexes.keySet())));
        continue;
      }
      List<Step> steps = zone.servedBy();
      if (steps == null) {
        steps = defaultSteps(zone, stepsByRegion.get(zone.region()));
      } else {
        checkSteps("zones." + zone.name() + ".served_by", steps, zoneIndexes, null);
      }
      zones.add(new PolicyModel.Zone(zone.name(), zone.region(), regionIndexes.get(zone.region()),
          zone.demand().effective(measurements.demand().get(zone.name())),
          zone.capacity().effective(measurements.capacity().get(zone.name())), helpers(steps), zone.location(),
          zone.capacity().location()));
    }
    if (!faults.isEmpty()) {
      faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column).thenComparing(Fault::message));
      throw new InvalidFileException(faults.stream().distinct().toList());
    }
    return new PolicyModel(source.fleet(), source.version(), source.headroom(), source.maxCrossZoneShare(),
        source.maxCrossRegionShare(), source.boundLocations(), source.priorityClasses(), List.copyOf(zones));
  }

  private static void assignIndexes(TreeMap<String, Integer> names) {
    int next = 0;
    for (Map.Entry<String, Integer> name : names.entrySet()) {
      name.setValue(next++);
    }
  }

  private Map<String, List<Step>> checkRegions() {
    Map<String, List<Step>> stepsByRegion = new HashMap<>();
    for (PolicySource.Region region : source.regions()) {
      if (!zonesByRegion.containsKey(region.name())) {
        faults.add(region.location().fault("regions." + region.name() + ": the region has no zone"));
      }
      checkSteps("regions." + region.name() + ".helped_by", region.helpedBy(), regionIndexes, region.name());
      stepsByRegion.put(region.name(), region.helpedBy());
    }
    return stepsByRegion;
  }

  /** @param self a name that must not be in these steps, or null */
  private void checkSteps(String key, List<Step> steps, Map<String, Integer> known, String self) {
    Map<String, SourceLocation> locationByName = new HashMap<>();
    for (Step step : steps) {
      for (WeightedName entry : step.entries()) {
        String fault = null;
        if (!known.containsKey(entry.name())) {
          fault = "unknown name '" + entry.name() + "'; allowed: " + String.join(", ", known.keySet());
        } else if (entry.name().equals(self)) {
          fault = "'" + self + "' cannot help itself";
        } else if (locationByName.putIfAbsent(entry.name(), entry.location()) != null) {
          fault = "'" + entry.name() + "' is listed twice, first in line " + locationByName.get(entry.name()).line();
        }
        if (fault != null) {
          faults.add(entry.location().fault(key + ": " + fault));
        }
      }
      if (step.entries().stream().noneMatch(entry -> entry.weight() > 0)) {
        faults.add(step.location().fault(key + ": all weights of this step are 0; at least one must be above 0"));
      }
    }
  }

  /** The default of served_by: the zone, the others of its region with equal weights, then the region's helpers. */
  private List<Step> defaultSteps(PolicySource.Zone zone, List<Step> regionSteps) {
    List<Step> steps = new ArrayList<>();
    steps.add(new Step(List.of(new WeightedName(zone.name(), 1, zone.location())), zone.location()));
    List<WeightedName> sameRegion = zonesByRegion.get(zone.region()).stream().filter(name -> !name.equals(zone.name()))
        .map(name -> new WeightedName(name, 1, zone.location())).toList();
    if (!sameRegion.isEmpty()) {
      steps.add(new Step(sameRegion, zone.location()));
    }
    for (Step regionStep : regionSteps) {
      List<WeightedName> entries = new ArrayList<>();
      for (WeightedName region : regionStep.entries()) {
        List<String> zones = zonesByRegion.getOrDefault(region.name(), List.of());
        zones.forEach(name -> entries.add(new WeightedName(name, region.weight() / zones.size(), region.location())));
      }
      steps.add(new Step(entries, regionStep.location()));
    }
    return steps;
  }

  private List<Helper> helpers(List<Step> steps) {
    List<Helper> helpers = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      for (WeightedName entry : steps.get(i).entries()) {
        if (entry.weight() > 0 && zoneIndexes.containsKey(entry.name())) {
          helpers.add(new Helper(zoneIndexes.get(entry.name()), i, entry.weight()));
        }
      }
    }
    helpers.sort(Comparator.comparingInt(Helper::zone));
    return List.copyOf(helpers);
  }
}
