package lemondeal.operator;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemondeal.config.Addresses;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.FleetSettings;

/** Reads the section {@code fleet} into settings, and checks the rules that the schema cannot express. */
final class FleetSection {
  private static final String POINTER = "/fleet";

  private static final int DEFAULT_MOVES_PER_SECOND = 20;

  private final YamlTree tree;
  private final Path file;
  private final JsonNode node;
  private final List<Fault> faults;

  FleetSection(YamlTree tree, Path file, List<Fault> faults) {
    this.tree = tree;
    this.file = file;
    this.faults = faults;
    node = tree.root().get("fleet");
  }

  /** The settings, or null if the section has faults. */
  OperatorConfig.Fleet fleet() {
    int faultsBefore = faults.size();
    long ttl = millis("life", FleetSettings.DEFAULT_TTL_MILLIS);
    long sendInterval = millis("tell", FleetSettings.DEFAULT_SEND_INTERVAL_MILLIS);
    if (ttl < FleetSettings.MIN_TTL_MILLIS || ttl < FleetSettings.MIN_SENDS_PER_TTL * sendInterval) {
      fault("/life", "fleet.life: found " + ttl + " ms; allowed: at least " + FleetSettings.MIN_TTL_MILLIS
          + " ms, and " + FleetSettings.MIN_SENDS_PER_TTL + " times fleet.tell, " + sendInterval + " ms");
    }
    List<FleetRoster.Member> members = members();
    InetSocketAddress listen =
        node.has("listen") ? address("/listen", "fleet.listen", node.get("listen").asText()) : null;
    String name = node.path("name").asText(null);
    if (name != null && members.stream().noneMatch(member -> member.name().equals(name))) {
      fault("/name", "fleet.name: found '" + name + "'; allowed: one of fleet.members");
    }
    return faults.size() > faultsBefore ? null : new OperatorConfig.Fleet(
        new FleetSettings(name, new FleetRoster(members), listen, ttl, sendInterval), evacuation(),
        tree.fault(POINTER + "/", ""));
  }

  private OperatorConfig.Evacuation evacuation() {
    JsonNode section = node.path("evacuation");
    // A relative path is resolved against the folder of the operator's file.
    Path stateFile = file.toAbsolutePath().resolveSibling(section.path("kept").asText());
    return section.isMissingNode() ? null
        : new OperatorConfig.Evacuation(section.get("connections").asInt(),
            section.path("moves").asInt(DEFAULT_MOVES_PER_SECOND), stateFile);
  }

  private List<FleetRoster.Member> members() {
    List<FleetRoster.Member> members = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<InetSocketAddress> addresses = new HashSet<>();
    for (JsonNode member : node.get("members")) {
      String pointer = "/members/" + members.size();
      String path = "fleet.members[" + members.size() + "]";
      String name = member.get("name").asText();
      InetSocketAddress address = address(pointer + "/address", path + ".address", member.get("address").asText());
      if (!names.add(name)) {
        fault(pointer + "/name", path + ".name: '" + name + "' is listed twice; allowed: each name once");
      }
      if (address != null && !addresses.add(address)) {
        fault(pointer + "/address",
            path + ".address: " + Addresses.format(address) + " is listed twice; allowed: each address once");
      }
      members.add(new FleetRoster.Member(name, member.get("zone").asText(), address));
    }
    return members;
  }

  private InetSocketAddress address(String pointer, String path, String text) {
    try {
      InetSocketAddress address = Addresses.parse(text);
      if (address.getAddress() instanceof Inet4Address && address.getPort() > 0) {
        return address;
      }
      fault(pointer, path + ": found " + text + "; allowed: a numeric IPv4 address:port");
    } catch (IllegalArgumentException e) {
      fault(pointer, path + ": " + e.getMessage());
    }
    return null;
  }

  private long millis(String key, long defaultMillis) {
    return Durations.millis(node, "fleet", key, defaultMillis, message -> fault("/" + key, message));
  }

  private void fault(String pointer, String message) {
    faults.add(tree.fault(POINTER + pointer, message));
  }
}
