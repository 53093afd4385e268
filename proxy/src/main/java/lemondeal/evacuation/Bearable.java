package lemondeal.evacuation;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How much of a zone's work may leave it: no more than the other zones can take. What does not fit is turned away at
 * once with an honest pause, the work worth least first. Pure.
 */
public final class Bearable {
  private static final long SHORTEST_PAUSE = 1_000;
  /** Room is never used up: what is predicted of servers is off by about so much. */
  private static final double USED = 0.9;

  private Bearable() {}

  /**
   * What one of the other zones can take.
   *
   * @param perSecond new connections a second beyond what it has; NaN where nothing is known, which holds nothing back
   * @param share of the leaving work that the plan in force gives it; NaN where no plan says
   */
  public record Room(int zone, double perSecond, double share) {}

  /** New connections a second of a class that would come out of the zone, and what one is worth. */
  public record Coming(int requestClass, double worth, double perSecond) {}

  /**
   * @param leaves by class, the share that goes to other zones, 0 to 1; the rest is to be refused
   * @param busyMillis after which one that was turned away should come again; 0 where nobody is
   */
  public record Answer(Map<Integer, Double> leaves, long busyMillis) {}

  /**
   * @param most milliseconds that a client may be told to wait at the longest
   */
  public static Answer of(List<Room> rooms, List<Coming> coming, long most) {
    double total = coming.stream().mapToDouble(Coming::perSecond).sum();
    double room = room(rooms, total);
    double left = room;
    Map<Integer, Double> leaves = new TreeMap<>();
    List<Coming> byWorth = coming.stream().sorted(Comparator.comparingDouble(Coming::worth).reversed()).toList();
    for (int i = 0; i < byWorth.size();) {
      int to = i;
      double wanted = 0;
      // Classes worth the same share what is left of the room alike, whatever their order.
      for (; to < byWorth.size() && byWorth.get(to).worth() == byWorth.get(i).worth(); to++) {
        wanted += byWorth.get(to).perSecond();
      }
      double share = wanted <= left ? 1 : left / wanted;
      byWorth.subList(i, to).forEach(one -> leaves.put(one.requestClass(), share));
      left = Math.max(0, left - wanted);
      i = to;
    }
    return new Answer(leaves, total <= room ? 0 : pause(total, room, most));
  }

  /** What comes again after so long comes at the rate that fits: as many turns as there are for each place. */
  private static long pause(double total, double room, long most) {
    double turns = total / Math.max(room, total / 1e6);
    return (long) Math.min(Math.max(most, SHORTEST_PAUSE), Math.ceil(turns * SHORTEST_PAUSE));
  }

  private static double room(List<Room> rooms, double total) {
    boolean planned = rooms.stream().anyMatch(room -> room.share() > 0);
    double sum = planned ? Double.POSITIVE_INFINITY : 0;
    for (Room room : rooms) {
      double used = Math.max(0, room.perSecond()) * USED;
      if (!planned) {
        // Of what nothing is known it is taken that it bears its even part.
        sum += Double.isNaN(room.perSecond()) ? total / rooms.size() : used;
      } else if (room.share() > 0 && !Double.isNaN(room.perSecond())) {
        sum = Math.min(sum, used / room.share());
      }
    }
    return sum;
  }
}
