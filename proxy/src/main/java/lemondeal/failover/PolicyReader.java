package lemondeal.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import lemondeal.failover.PolicySource.Kind;
import lemondeal.failover.PolicySource.SurvivalRequirement;
import lemondeal.failover.PolicySource.Region;
import lemondeal.failover.PolicySource.WeightedName;
import lemondeal.failover.PolicySource.Step;
import lemondeal.failover.PolicySource.Zone;
import lemondeal.operator.SchemaValidator;
import lemondeal.operator.YamlTree;

/** Reads a policy file into a {@link PolicySource}, with the locations that later stages need for their errors. */
final class PolicyReader {
  private final YamlTree tree;

  private PolicyReader(YamlTree tree) {
    this.tree = tree;
  }

  /** Throws {@link lemondeal.operator.InvalidFileException} with all violations of the schema. */
  static PolicySource read(Path file) {
    return new PolicyReader(new SchemaValidator("failover.schema.json").readTree(file)).readPolicy();
  }

  private PolicySource readPolicy() {
    JsonNode root = tree.root();
    List<String> priorityClasses = new ArrayList<>();
    root.path("first").forEach(name -> priorityClasses.add(name.asText()));
    PolicySource.BoundLocations boundLocations =
        new PolicySource.BoundLocations(location("/headroom/"), location("/cross/zones/"), location("/cross/regions/"));
    return new PolicySource(root.get("fleet").asText(), root.get("policy").asLong(), location(""),
        root.path("headroom").asDouble(0), root.at("/cross/zones").asDouble(1), root.at("/cross/regions").asDouble(1),
        boundLocations, priorityClasses, regions(root.get("regions")), zones(root.get("zones")),
        requirements(root.get("survive")));
  }

  private SourceLocation location(String pointer) {
    return SourceLocation.of(tree.fault(pointer, ""));
  }

  private List<Region> regions(JsonNode node) {
    List<Region> regions = new ArrayList<>();
    for (Iterator<Map.Entry<String, JsonNode>> entries = node.fields(); entries.hasNext();) {
      Map.Entry<String, JsonNode> entry = entries.next();
      String pointer = "/regions/" + YamlTree.escapePointer(entry.getKey());
      regions.add(new Region(entry.getKey(), steps(entry.getValue().path("helped_by"), pointer + "/helped_by"),
          location(pointer + "/")));
    }
    return regions;
  }

  private List<Zone> zones(JsonNode node) {
    List<Zone> zones = new ArrayList<>();
    for (Iterator<Map.Entry<String, JsonNode>> entries = node.fields(); entries.hasNext();) {
      Map.Entry<String, JsonNode> entry = entries.next();
      JsonNode zone = entry.getValue();
      String pointer = "/zones/" + YamlTree.escapePointer(entry.getKey());
      List<Step> servedBy = zone.has("served_by") ? steps(zone.get("served_by"), pointer + "/served_by") : null;
      zones.add(new Zone(entry.getKey(), zone.get("region").asText(), location(pointer + "/region"),
          quantity(zone.get("demand"), pointer + "/demand/"), quantity(zone.get("capacity"), pointer + "/capacity/"),
          servedBy, location(pointer + "/")));
    }
    return zones;
  }

  private PolicyQuantity quantity(JsonNode node, String pointer) {
    return node.isObject() ? new PolicyQuantity(node.get("floor").asDouble(), true, location(pointer))
        : new PolicyQuantity(node.asDouble(), false, location(pointer));
  }

  private List<Step> steps(JsonNode node, String pointer) {
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < node.size(); i++) {
      List<WeightedName> weightedNames = new ArrayList<>();
      for (Iterator<Map.Entry<String, JsonNode>> entries = node.get(i).fields(); entries.hasNext();) {
        Map.Entry<String, JsonNode> entry = entries.next();
        weightedNames.add(new WeightedName(entry.getKey(), entry.getValue().asDouble(),
            location(pointer + "/" + i + "/" + YamlTree.escapePointer(entry.getKey()) + "/")));
      }
      steps.add(new Step(weightedNames, location(pointer + "/" + i)));
    }
    return steps;
  }

  private List<SurvivalRequirement> requirements(JsonNode node) {
    List<SurvivalRequirement> requirements = new ArrayList<>();
    if (node.path("any_zone").asBoolean()) {
      requirements.add(new SurvivalRequirement(Kind.ANY_ZONE, 1, List.of(), location("/survive/any_zone/")));
    }
    if (node.path("any_region").asBoolean()) {
      requirements.add(new SurvivalRequirement(Kind.ANY_REGION, 1, List.of(), location("/survive/any_region/")));
    }
    for (int i = 0; i < node.path("any").size(); i++) {
      JsonNode any = node.get("any").get(i);
      requirements.add(new SurvivalRequirement(Kind.ANY, any.get("count").asInt(), names(any.path("of")),
          location("/survive/any/" + i)));
    }
    for (int i = 0; i < node.path("together").size(); i++) {
      List<String> names = names(node.get("together").get(i));
      requirements.add(new SurvivalRequirement(Kind.TOGETHER, names.size(), names, location("/survive/together/" + i)));
    }
    return requirements;
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(name -> names.add(name.asText()));
    return names;
  }
}
