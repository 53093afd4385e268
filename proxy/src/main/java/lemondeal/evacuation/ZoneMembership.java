package lemondeal.evacuation;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.zip.CRC32;

/**
 * The fleet as the operator's file names it. Majorities are of these, whoever is in sight. The order of names is the
 * same at every proxy, so that rows can speak of proxies by place.
 *
 * @param self this proxy's place in the order
 */
public record ZoneMembership(List<Member> members, int selfIndex) {

  /**
   * One named proxy.
   *
   * @param zone the zone that it stands in
   */
  public record Member(String name, int zone) {}

  /**
   * @param self one of the names
   * @throws IllegalArgumentException for a name given twice, or a self that is not named
   */
  public static ZoneMembership of(List<Member> members, String selfName) {
    List<Member> ordered = members.stream().sorted(Comparator.comparing(Member::name)).toList();
    Set<String> names = new HashSet<>();
    int selfIndex = -1;
    for (int i = 0; i < ordered.size(); i++) {
      if (!names.add(ordered.get(i).name())) {
        throw new IllegalArgumentException(ordered.get(i).name() + " is named twice");
      }
      selfIndex = ordered.get(i).name().equals(selfName) ? i : selfIndex;
    }
    if (selfIndex < 0) {
      throw new IllegalArgumentException(selfName + " is not among the named proxies");
    }
    return new ZoneMembership(ordered, selfIndex);
  }

  public int size() {
    return members.size();
  }

  /** The zone that this proxy stands in. */
  public int zone() {
    return zone(selfIndex);
  }

  int zone(int memberIndex) {
    return members.get(memberIndex).zone();
  }

  /** Place of a name, -1 where it is not named. */
  int indexOf(String name) {
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** Tells fleets named otherwise apart; a row of such a one could echo another proxy's stamps. */
  int digest() {
    CRC32 checksum = new CRC32();
    for (Member member : members) {
      checksum.update((member.name() + '\n' + member.zone() + '\n').getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
    return (int) checksum.getValue();
  }
}
