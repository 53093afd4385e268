package lemondeal.evacuation;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * The configured members of the fleet with their zones. Majorities are of these, no matter how many are reachable. The
 * members are ordered by name, the same at every proxy, so that reports can refer to them by index.
 *
 * @param selfIndex this proxy's index
 */
public record ZoneMembership(List<Member> members, int selfIndex) {

  /**
   * One configured proxy.
   *
   * @param zone the zone in which it runs
   */
  public record Member(String name, int zone) {}

  /**
   * @param selfName one of the names
   * @throws IllegalArgumentException for a duplicate name, or if {@code selfName} is not a member
   */
  public static ZoneMembership of(List<Member> members, String selfName) {
    List<Member> ordered = members.stream().sorted(Comparator.comparing(Member::name)).toList();
    Set<String> names = new HashSet<>();
    int selfIndex = -1;
    for (int i = 0; i < ordered.size(); i++) {
      if (!names.add(ordered.get(i).name())) {
        throw new IllegalArgumentException(ordered.get(i).name() + " is listed twice among the fleet's members");
      }
      selfIndex = ordered.get(i).name().equals(selfName) ? i : selfIndex;
    }
    if (selfIndex < 0) {
      throw new IllegalArgumentException(selfName + " is not a member of the fleet");
    }
    return new ZoneMembership(ordered, selfIndex);
  }

  public int size() {
    return members.size();
  }

  /** The zone in which this proxy runs. */
  public int zone() {
    return zone(selfIndex);
  }

  int zone(int memberIndex) {
    return members.get(memberIndex).zone();
  }

  /** Index of the member with this name, or -1 if there is none. */
  int indexOf(String name) {
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /**
   * Distinguishes fleets with different members: a report of another fleet could echo stamps that belong to another
   * proxy.
   */
  int digest() {
    CRC32 checksum = new CRC32();
    for (Member member : members) {
      checksum.update((member.name() + '\n' + member.zone() + '\n').getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
    return (int) checksum.getValue();
  }
}
