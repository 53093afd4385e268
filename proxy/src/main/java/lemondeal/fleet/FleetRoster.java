package lemondeal.fleet;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The members of the fleet as configured in the operator's file. A majority is of these, never of the live members. */
public final class FleetRoster {
  /** Largest supported number of proxies in a fleet. */
  public static final int MAX_MEMBERS = 200;

  /**
   * A proxy of the fleet.
   *
   * @param zone the zone in which it runs
   * @param address at which this proxy reaches it
   */
  public record Member(String name, String zone, InetSocketAddress address) {}

  private final Map<String, Member> members = new LinkedHashMap<>();

  /** @throws IllegalArgumentException if a name is listed twice, or there are too many members */
  public FleetRoster(Collection<Member> configured) {
    for (Member member : configured) {
      if (members.put(member.name(), member) != null) {
        throw new IllegalArgumentException("'" + member.name() + "' is named twice");
      }
    }
    if (members.size() > MAX_MEMBERS) {
      throw new IllegalArgumentException(members.size() + " proxies; allowed: " + MAX_MEMBERS);
    }
  }

  public Collection<Member> members() {
    return members.values();
  }

  /** The member with this name, or null. */
  public Member member(String name) {
    return members.get(name);
  }

  public boolean contains(String name) {
    return members.containsKey(name);
  }

  public int size() {
    return members.size();
  }

  /** Number of members that form a majority: more than half of those configured. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** Whether these form a majority; names that are not configured do not count. */
  public boolean isMajority(Set<String> names) {
    return names.stream().filter(this::contains).count() >= majority();
  }

  /** The zones in which the members run. */
  public Set<String> zones() {
    Set<String> zones = new TreeSet<>();
    members.values().forEach(member -> zones.add(member.zone()));
    return zones;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof FleetRoster roster && members.equals(roster.members);
  }

  @Override
  public int hashCode() {
    return members.hashCode();
  }
}
