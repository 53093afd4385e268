package lemondeal.failover;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondeal.failover.PolicyModel.Helper;
import lemondeal.failover.PolicySource.Share;
import lemondeal.failover.PolicySource.Step;
import lemondeal.operator.Fault;
import lemondeal.operator.FileFaults;

/** Checks what no schema can: that names are of something, that weights are of some use. Finds all faults at once. */
final class ModelMaker {
  private final PolicySource source;
  private final List<Fault> faults = new ArrayList<>();
  private final TreeMap<String, Integer> zoneNumbers = new TreeMap<>();
  private final TreeMap<String, Integer> regionNumbers = new TreeMap<>();
  private final Map<String, List<String>> zonesOf = new TreeMap<>();

  private ModelMaker(PolicySource source) {
    this.source = source;
  }

  /** Throws {@link FileFaults} for a policy that contradicts itself. */
  static PolicyModel make(PolicySource source, Measured measured) {
    return new ModelMaker(source).model(measured);
  }

  private PolicyModel model(Measured measured) {
    source.zones().forEach(zone -> zoneNumbers.put(zone.name(), 0));
    source.regions().forEach(region -> regionNumbers.put(region.name(), 0));
    number(zoneNumbers);
    number(regionNumbers);
    List<PolicySource.Zone> sorted = new ArrayList<>(source.zones());
    sorted.sort(Comparator.comparing(PolicySource.Zone::name));
    sorted.forEach(zone -> zonesOf.computeIfAbsent(zone.region(), none -> new ArrayList<>()).add(zone.name()));
    Map<String, List<Step>> help = checkedRegions();
    List<PolicyModel.Zone> zones = new ArrayList<>();
    for (PolicySource.Zone zone : sorted) {
      if (!regionNumbers.containsKey(zone.region())) {
        faults.add(zone.regionPlace().fault("zones." + zone.name() + ".region: no region is called '" + zone.region()
            + "'; allowed: " + String.join(", ", regionNumbers.keySet())));
        continue;
      }
      List<Step> steps = zone.servedBy();
      if (steps == null) {
        steps = usual(zone, help.get(zone.region()));
      } else {
        checkSteps("zones." + zone.name() + ".served_by", steps, zoneNumbers, null);
      }
      zones.add(new PolicyModel.Zone(zone.name(), zone.region(), regionNumbers.get(zone.region()),
          zone.demand().with(measured.demand().get(zone.name())),
          zone.capacity().with(measured.capacity().get(zone.name())), helpers(steps), zone.place(),
          zone.capacity().place()));
    }
    if (!faults.isEmpty()) {
      faults.sort(Comparator.comparingInt(Fault::line).thenComparingInt(Fault::column).thenComparing(Fault::what));
      throw new FileFaults(faults.stream().distinct().toList());
    }
    return new PolicyModel(source.fleet(), source.version(), source.headroom(), source.zoneShare(),
        source.regionShare(), source.places(), source.first(), List.copyOf(zones));
  }

  private static void number(TreeMap<String, Integer> names) {
    int next = 0;
    for (Map.Entry<String, Integer> name : names.entrySet()) {
      name.setValue(next++);
    }
  }

  private Map<String, List<Step>> checkedRegions() {
    Map<String, List<Step>> help = new HashMap<>();
    for (PolicySource.Region region : source.regions()) {
      if (!zonesOf.containsKey(region.name())) {
        faults.add(region.place().fault("regions." + region.name() + ": no zone is in it"));
      }
      checkSteps("regions." + region.name() + ".helped_by", region.helpedBy(), regionNumbers, region.name());
      help.put(region.name(), region.helpedBy());
    }
    return help;
  }

  /** @param self who must not stand among its own helpers; null where it may */
  private void checkSteps(String where, List<Step> steps, Map<String, Integer> known, String self) {
    Map<String, Place> seen = new HashMap<>();
    for (Step step : steps) {
      for (Share share : step.shares()) {
        String fault = null;
        if (!known.containsKey(share.name())) {
          fault = "nothing is called '" + share.name() + "'; allowed: " + String.join(", ", known.keySet());
        } else if (share.name().equals(self)) {
          fault = "'" + self + "' is to help itself";
        } else if (seen.putIfAbsent(share.name(), share.place()) != null) {
          fault = "'" + share.name() + "' stands here twice, first in line " + seen.get(share.name()).line();
        }
        if (fault != null) {
          faults.add(share.place().fault(where + ": " + fault));
        }
      }
      if (step.shares().stream().noneMatch(share -> share.weight() > 0)) {
        faults.add(step.place().fault(where + ": the weights of this step sum to nothing; one must be above 0"));
      }
    }
  }

  /** Where the file does not say it: the zone itself, the others of its region alike, then its region's helpers. */
  private List<Step> usual(PolicySource.Zone zone, List<Step> regionHelp) {
    List<Step> steps = new ArrayList<>();
    steps.add(new Step(List.of(new Share(zone.name(), 1, zone.place())), zone.place()));
    List<Share> near = zonesOf.get(zone.region()).stream().filter(name -> !name.equals(zone.name()))
        .map(name -> new Share(name, 1, zone.place())).toList();
    if (!near.isEmpty()) {
      steps.add(new Step(near, zone.place()));
    }
    for (Step far : regionHelp) {
      List<Share> shares = new ArrayList<>();
      for (Share region : far.shares()) {
        List<String> zones = zonesOf.getOrDefault(region.name(), List.of());
        zones.forEach(name -> shares.add(new Share(name, region.weight() / zones.size(), region.place())));
      }
      steps.add(new Step(shares, far.place()));
    }
    return steps;
  }

  private List<Helper> helpers(List<Step> steps) {
    List<Helper> helpers = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      for (Share share : steps.get(i).shares()) {
        if (share.weight() > 0 && zoneNumbers.containsKey(share.name())) {
          helpers.add(new Helper(zoneNumbers.get(share.name()), i, share.weight()));
        }
      }
    }
    helpers.sort(Comparator.comparingInt(Helper::zone));
    return List.copyOf(helpers);
  }
}
