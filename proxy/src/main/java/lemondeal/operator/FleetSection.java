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

/** The section {@code fleet}: what the schema can't say is checked here, and all of it becomes settings. */
final class FleetSection {
  private static final String AT = "/fleet";

  private static final int MOVES = 20;

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

  /** Null where there are faults. */
  Operator.Fleet fleet() {
    int before = faults.size();
    long life = millis("life", FleetSettings.DEFAULT_TTL_MILLIS);
    long tell = millis("tell", FleetSettings.DEFAULT_SEND_INTERVAL_MILLIS);
    if (life < FleetSettings.MIN_TTL_MILLIS || life < FleetSettings.MIN_SENDS_PER_TTL * tell) {
      fault("/life", "fleet.life: found " + life + " ms; allowed: at least " + FleetSettings.MIN_TTL_MILLIS
          + " ms, and " + FleetSettings.MIN_SENDS_PER_TTL + " times fleet.tell, " + tell + " ms");
    }
    List<FleetRoster.Member> members = members();
    InetSocketAddress listen = node.has("listen") ? address("/listen", "fleet.listen", node.get("listen").asText()) : null;
    String name = node.path("name").asText(null);
    if (name != null && members.stream().noneMatch(member -> member.name().equals(name))) {
      fault("/name", "fleet.name: found '" + name + "'; allowed: one of fleet.members");
    }
    return faults.size() > before ? null : new Operator.Fleet(
        new FleetSettings(name, new FleetRoster(members), listen, life, tell), evacuation(), tree.fault(AT + "/", ""));
  }

  private Operator.Evacuation evacuation() {
    JsonNode section = node.path("evacuation");
    // Paths are meant from where the file is.
    Path kept = file.toAbsolutePath().resolveSibling(section.path("kept").asText());
    return section.isMissingNode() ? null
        : new Operator.Evacuation(section.get("connections").asInt(), section.path("moves").asInt(MOVES), kept);
  }

  private List<FleetRoster.Member> members() {
    List<FleetRoster.Member> members = new ArrayList<>();
    Set<String> names = new HashSet<>();
    Set<InetSocketAddress> addresses = new HashSet<>();
    for (JsonNode member : node.get("members")) {
      String at = "/members/" + members.size();
      String path = "fleet.members[" + members.size() + "]";
      String name = member.get("name").asText();
      InetSocketAddress address = address(at + "/address", path + ".address", member.get("address").asText());
      if (!names.add(name)) {
        fault(at + "/name", path + ".name: '" + name + "' stands twice; allowed: each name once");
      }
      if (address != null && !addresses.add(address)) {
        fault(at + "/address", path + ".address: " + Addresses.format(address) + " stands twice; allowed: each address once");
      }
      members.add(new FleetRoster.Member(name, member.get("zone").asText(), address));
    }
    return members;
  }

  private InetSocketAddress address(String at, String path, String text) {
    try {
      InetSocketAddress address = Addresses.parse(text);
      if (address.getAddress() instanceof Inet4Address && address.getPort() > 0) {
        return address;
      }
      fault(at, path + ": found " + text + "; allowed: a numeric IPv4 address:port");
    } catch (IllegalArgumentException e) {
      fault(at, path + ": " + e.getMessage());
    }
    return null;
  }

  private long millis(String key, long otherwise) {
    return Times.millis(node, "fleet", key, otherwise, what -> fault("/" + key, what));
  }

  private void fault(String at, String what) {
    faults.add(tree.fault(AT + at, what));
  }
}
