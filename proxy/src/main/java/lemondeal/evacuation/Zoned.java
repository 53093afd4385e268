package lemondeal.evacuation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondeal.Balancer;

/**
 * A module that places within what the fleet decided of its zones. Stands between the proxy and its module: what the
 * module hears is evidence, and how far zones are open is told to it before each event, so that no share outlives a stall
 * of the process. Pure: rows go in by {@link #hear} and out by {@link Side}. A proxy without such a section runs none of it.
 */
public final class Zoned implements Balancer {
  /** A wake-up of this token is for looking around alone; the module hears nothing of it. */
  public static final long LOOK = -1;
  /** Milliseconds between two looks. */
  public static final long EVERY = 50;

  /** What is told outside. */
  public interface Side {
    /** The content of the own next row. */
    void row(byte[] content);

    /** A decision became known; {@code state} is to be kept on disk. */
    void decided(Evacuation.Decided decided, EvacuationState state);

    /** From now on this proxy stands so to the zone; told when the state changes. */
    void stands(ZoneStanding standing);

    /** Proxies heard of for certain, this one included. */
    int inSight();
  }

  private final Balancer module;
  private final Evacuation evacuation;
  private final ZoneGate gate;
  private final Side side;
  private final Leaving leaving;
  private final long tell;
  private final ZoneEyes eyes;
  private final Map<Integer, ZoneOpen> told = new TreeMap<>();
  private final Map<Integer, ZoneStanding.State> states = new TreeMap<>();
  private boolean started;
  private long lookedAt;
  private long rowAt;

  /**
   * @param movesPerSecond standing connections that leave a zone, of all proxies together
   * @param tell milliseconds between two rows
   */
  public Zoned(Balancer module, Named named, Evacuation evacuation, double movesPerSecond, long tell, Side side, long now) {
    this.module = module;
    this.evacuation = evacuation;
    this.side = side;
    this.tell = tell;
    gate = new ZoneGate(named, now);
    leaving = new Leaving(movesPerSecond, named.size());
    eyes = new ZoneEyes(evacuation.watch());
    lookedAt = now - EVERY;
    rowAt = now - tell;
  }

  /** Takes the newest content of a proxy's row. */
  public void hear(String owner, byte[] content) {
    evacuation.hear(owner, content);
  }

  @Override
  public List<Action> on(long now, Event event) {
    List<Action> out = new ArrayList<>();
    long millis = now / 1_000;
    if (event instanceof Start e) {
      eyes.start(e.settings());
      started = true;
    } else if (started && millis - lookedAt >= EVERY) {
      look(now, out);
    }
    if (event instanceof Wake e && e.token() == LOOK || eyes.see(millis, event)) {
      return out;
    }
    List<Action> actions = module.on(now, event);
    out.addAll(actions);
    if (event instanceof ServerList && started) {
      // Before anybody can be sent to a server that is new here: its zone may have been left.
      look(now, out);
    } else if (sentIntoBounded(actions)) {
      doors(now, out);
    }
    return out;
  }

  private void look(long now, List<Action> out) {
    long millis = now / 1_000;
    eyes.look(millis);
    for (Evacuation.Decided decided : evacuation.tick(millis)) {
      side.decided(decided, evacuation.state());
    }
    leaving.pass(millis - lookedAt, side.inSight());
    lookedAt = millis;
    doors(now, out);
    for (ZoneOpen door : told.values()) {
      if (door.keyShare() == 0) {
        out.addAll(eyes.ask(door.zone(), millis));
      }
    }
    if (evacuation.tellNow() || millis - rowAt >= tell) {
      rowAt = millis;
      side.row(evacuation.row(millis));
    }
  }

  /** Tells the module what changed of the zones' doors, and whom to move out of a zone that is left. */
  private void doors(long now, List<Action> out) {
    long millis = now / 1_000;
    for (ZoneStanding standing : evacuation.standings(millis)) {
      if (states.put(standing.zone(), standing.state()) != standing.state()) {
        side.stands(standing);
      }
      int leave = standing.state() == ZoneStanding.State.CLOSED ? leaving.take() : 0;
      ZoneOpen door = new ZoneOpen(standing.zone(), standing.open(), gate.left(standing, millis), 0);
      if (leave > 0 || !door.equals(told.get(door.zone())) && !(open(door) && !told.containsKey(door.zone()))) {
        told.put(door.zone(), door);
        List<Action> moved = module.on(now, new ZoneOpen(door.zone(), door.keyShare(), door.maxSends(), leave));
        leaving.giveBack(leave - (int) moved.stream().filter(Move.class::isInstance).count());
        out.addAll(moved);
      }
    }
  }

  private static boolean open(ZoneOpen door) {
    return door.keyShare() >= 1 && door.maxSends() == ZoneOpen.UNLIMITED;
  }

  private boolean sentIntoBounded(List<Action> actions) {
    boolean bounded = false;
    for (Action action : actions) {
      if (action instanceof Send send) {
        ZoneOpen door = told.get(eyes.zone(send.server()));
        if (door != null && !open(door)) {
          gate.sent(door.zone());
          bounded = true;
        }
      }
    }
    return bounded;
  }

  /** While a starting proxy asks what was decided, it is not to be sent clients. */
  @Override
  public ServerSummary serverSummary(long now) {
    ServerSummary standing = module.serverSummary(now);
    boolean asking = evacuation.standings(now / 1_000).stream().anyMatch(z -> z.state() == ZoneStanding.State.ASKING);
    return new ServerSummary(standing.listReceived() && !asking, standing.known(), standing.avoided());
  }

  /** How far each zone is open by what was last told, for the figures. */
  public Map<Integer, Double> shares() {
    Map<Integer, Double> shares = new HashMap<>();
    told.forEach((zone, door) -> shares.put(zone, door.keyShare()));
    return shares;
  }
}
