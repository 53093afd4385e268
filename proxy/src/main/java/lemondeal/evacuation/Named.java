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
public record Named(List<Proxy> proxies, int self) {

  /**
   * One named proxy.
   *
   * @param zone the zone that it stands in
   */
  public record Proxy(String name, int zone) {}

  /**
   * @param self one of the names
   * @throws IllegalArgumentException for a name given twice, or a self that is not named
   */
  public static Named of(List<Proxy> proxies, String self) {
    List<Proxy> ordered = proxies.stream().sorted(Comparator.comparing(Proxy::name)).toList();
    Set<String> names = new HashSet<>();
    int place = -1;
    for (int i = 0; i < ordered.size(); i++) {
      if (!names.add(ordered.get(i).name())) {
        throw new IllegalArgumentException(ordered.get(i).name() + " is named twice");
      }
      place = ordered.get(i).name().equals(self) ? i : place;
    }
    if (place < 0) {
      throw new IllegalArgumentException(self + " is not among the named proxies");
    }
    return new Named(ordered, place);
  }

  public int size() {
    return proxies.size();
  }

  /** The zone that this proxy stands in. */
  public int zone() {
    return zone(self);
  }

  int zone(int place) {
    return proxies.get(place).zone();
  }

  /** Place of a name, -1 where it is not named. */
  int place(String name) {
    for (int i = 0; i < proxies.size(); i++) {
      if (proxies.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** Tells fleets named otherwise apart; a row of such a one could echo another proxy's stamps. */
  int digest() {
    CRC32 sum = new CRC32();
    for (Proxy proxy : proxies) {
      sum.update((proxy.name() + '\n' + proxy.zone() + '\n').getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }
    return (int) sum.getValue();
  }
}
