package lemondeal.fleet;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Who the fleet is, as the operator's file names it. A majority is of those named, never of those in sight. */
public final class FleetRoster {
  /** More proxies than this one fleet has not. */
  public static final int MAX_MEMBERS = 200;

  /**
   * A proxy of the fleet.
   *
   * @param zone where it looks from
   * @param address where this proxy reaches it
   */
  public record Member(String name, String zone, InetSocketAddress address) {}

  private final Map<String, Member> members = new LinkedHashMap<>();

  /** @throws IllegalArgumentException where one is named twice, or too many are named */
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

  /** Null where none is named so. */
  public Member member(String name) {
    return members.get(name);
  }

  public boolean contains(String name) {
    return members.containsKey(name);
  }

  public int size() {
    return members.size();
  }

  /** How many are a majority: more than half of those named. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** Whether these are a majority; those that are not named do not count. */
  public boolean isMajority(Set<String> names) {
    return names.stream().filter(this::contains).count() >= majority();
  }

  /** The zones that proxies look from. */
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
