package lemondeal.failover;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import lemondeal.failover.PolicySource.Kind;
import lemondeal.failover.PolicySource.Promise;
import lemondeal.failover.PolicySource.Region;
import lemondeal.failover.PolicySource.Share;
import lemondeal.failover.PolicySource.Step;
import lemondeal.failover.PolicySource.Zone;
import lemondeal.operator.SchemaCheck;
import lemondeal.operator.YamlTree;

/** Reads a policy's file into {@link PolicySource}, keeping the place of whatever a later stage may complain of. */
final class SourceReader {
  private final YamlTree tree;

  private SourceReader(YamlTree tree) {
    this.tree = tree;
  }

  /** Throws {@link lemondeal.operator.FileFaults} with all that the schema finds. */
  static PolicySource read(Path file) {
    return new SourceReader(new SchemaCheck("failover.schema.json").tree(file)).policy();
  }

  private PolicySource policy() {
    JsonNode root = tree.root();
    List<String> first = new ArrayList<>();
    root.path("first").forEach(name -> first.add(name.asText()));
    PolicySource.Places places =
        new PolicySource.Places(place("/headroom/"), place("/cross/zones/"), place("/cross/regions/"));
    return new PolicySource(root.get("fleet").asText(), root.get("policy").asLong(), place(""),
        root.path("headroom").asDouble(0), root.at("/cross/zones").asDouble(1), root.at("/cross/regions").asDouble(1),
        places, first, regions(root.get("regions")), zones(root.get("zones")), promises(root.get("survive")));
  }

  private Place place(String pointer) {
    return Place.of(tree.fault(pointer, ""));
  }

  private List<Region> regions(JsonNode node) {
    List<Region> regions = new ArrayList<>();
    for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext();) {
      Map.Entry<String, JsonNode> entry = it.next();
      String at = "/regions/" + YamlTree.escaped(entry.getKey());
      regions.add(new Region(entry.getKey(), steps(entry.getValue().path("helped_by"), at + "/helped_by"),
          place(at + "/")));
    }
    return regions;
  }

  private List<Zone> zones(JsonNode node) {
    List<Zone> zones = new ArrayList<>();
    for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext();) {
      Map.Entry<String, JsonNode> entry = it.next();
      JsonNode zone = entry.getValue();
      String at = "/zones/" + YamlTree.escaped(entry.getKey());
      List<Step> servedBy = zone.has("served_by") ? steps(zone.get("served_by"), at + "/served_by") : null;
      zones.add(new Zone(entry.getKey(), zone.get("region").asText(), place(at + "/region"),
          amount(zone.get("demand"), at + "/demand/"), amount(zone.get("capacity"), at + "/capacity/"), servedBy,
          place(at + "/")));
    }
    return zones;
  }

  private Amount amount(JsonNode node, String at) {
    return node.isObject() ? new Amount(node.get("floor").asDouble(), true, place(at))
        : new Amount(node.asDouble(), false, place(at));
  }

  private List<Step> steps(JsonNode node, String at) {
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < node.size(); i++) {
      List<Share> shares = new ArrayList<>();
      for (Iterator<Map.Entry<String, JsonNode>> it = node.get(i).fields(); it.hasNext();) {
        Map.Entry<String, JsonNode> share = it.next();
        shares.add(new Share(share.getKey(), share.getValue().asDouble(),
            place(at + "/" + i + "/" + YamlTree.escaped(share.getKey()) + "/")));
      }
      steps.add(new Step(shares, place(at + "/" + i)));
    }
    return steps;
  }

  private List<Promise> promises(JsonNode node) {
    List<Promise> promises = new ArrayList<>();
    if (node.path("any_zone").asBoolean()) {
      promises.add(new Promise(Kind.ANY_ZONE, 1, List.of(), place("/survive/any_zone/")));
    }
    if (node.path("any_region").asBoolean()) {
      promises.add(new Promise(Kind.ANY_REGION, 1, List.of(), place("/survive/any_region/")));
    }
    for (int i = 0; i < node.path("any").size(); i++) {
      JsonNode any = node.get("any").get(i);
      promises.add(new Promise(Kind.ANY, any.get("count").asInt(), names(any.path("of")), place("/survive/any/" + i)));
    }
    for (int i = 0; i < node.path("together").size(); i++) {
      List<String> names = names(node.get("together").get(i));
      promises.add(new Promise(Kind.TOGETHER, names.size(), names, place("/survive/together/" + i)));
    }
    return promises;
  }

  private static List<String> names(JsonNode list) {
    List<String> names = new ArrayList<>();
    list.forEach(name -> names.add(name.asText()));
    return names;
  }
}
