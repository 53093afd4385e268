package lemondeal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Several fleets of servers behind one {@link Balancer}, where classes have servers of their own: a module for each
 * fleet, and each request decided by its class's. Knows which fleet a request and a server belong to and decides nothing
 * itself. As pure as what it is made of. An id of a server belongs to one fleet alone.
 */
public final class Fleets implements Balancer {

  /** Where a request is decided, until nothing of it can come any more. */
  private static final class Route {
    private final int fleet;
    private boolean attemptOut;
    private boolean gone;

    Route(int fleet, boolean attemptOut) {
      this.fleet = fleet;
      this.attemptOut = attemptOut;
    }
  }

  private final List<Balancer> modules;
  private final int[] fleetOf;
  private final Map<String, Route> routes = new HashMap<>();
  private final Map<String, Integer> servers = new HashMap<>();

  /**
   * @param modules one a fleet
   * @param fleetOf the place in {@code modules} of each class, by the class's number
   */
  public Fleets(List<Balancer> modules, int[] fleetOf) {
    this.modules = List.copyOf(modules);
    this.fleetOf = fleetOf.clone();
  }

  /** Requests that are known now: for a test that none is kept. */
  int requests() {
    return routes.size();
  }

  @Override
  public List<Action> on(long now, Event event) {
    if (event instanceof Start || event instanceof PeerMessage || event instanceof ZoneOpen) {
      List<Action> all = new ArrayList<>();
      for (int fleet = 0; fleet < modules.size(); fleet++) {
        all.addAll(in(fleet, now, event instanceof Start s ? new Start(s.seed() + fleet, s.settings()) : event));
      }
      return all;
    }
    if (event instanceof Wake e) {
      // See #outOf: a wake's token tells whose it is.
      int fleet = (int) Math.floorMod(e.token(), (long) modules.size());
      return in(fleet, now, new Wake(Math.floorDiv(e.token(), (long) modules.size())));
    }
    int fleet = fleet(event);
    if (fleet < 0) {
      return List.of();
    }
    if (event instanceof Ended e) {
      ended(e);
    }
    List<Action> actions = in(fleet, now, event);
    if (event instanceof ClientGone e) {
      // An attempt of it may still be out, and its end is the module's to hear.
      answered(e.id());
    }
    return actions;
  }

  /** Whose event it is; below 0 where its request and its server are both forgotten, and nothing is to be learnt. */
  private int fleet(Event event) {
    if (event instanceof Arrived e) {
      return begin(e.request(), false);
    } else if (event instanceof Adopted e) {
      return begin(e.request(), true);
    } else if (event instanceof ServerList e) {
      return listed(e);
    } else if (event instanceof Established e) {
      return of(e.id(), e.server());
    } else if (event instanceof Ended e) {
      return of(e.id(), e.server());
    } else if (event instanceof LoadChanged e) {
      return of(e.id(), e.server());
    } else if (event instanceof MessageDelay e) {
      return of(e.id(), e.server());
    } else if (event instanceof Unanswered e) {
      return of(e.id(), e.server());
    } else if (event instanceof ProbeResult e) {
      return servers.getOrDefault(e.server(), -1);
    } else if (event instanceof ClientGone e) {
      return of(e.id(), "");
    }
    throw new IllegalArgumentException("an event without a fleet: " + event);
  }

  private int begin(Request request, boolean attemptOut) {
    int fleet = fleetOf[request.requestClass()];
    routes.put(request.id(), new Route(fleet, attemptOut));
    return fleet;
  }

  private int of(String request, String server) {
    Route route = routes.get(request);
    return route != null ? route.fleet : servers.getOrDefault(server, -1);
  }

  private int listed(ServerList list) {
    if (list.kind() == ListKind.FULL || list.kind() == ListKind.SAVED) {
      servers.values().removeIf(fleet -> fleet == list.fleet());
    }
    for (ServerEntry entry : list.entries()) {
      if (entry.state() == ServerState.GONE) {
        servers.remove(entry.server());
      } else {
        servers.put(entry.server(), list.fleet());
      }
    }
    return list.fleet();
  }

  private List<Action> in(int fleet, long now, Event event) {
    List<Action> actions = modules.get(fleet).on(now, event);
    if (actions.isEmpty()) {
      return actions;
    }
    List<Action> out = new ArrayList<>(actions.size());
    for (Action action : actions) {
      out.add(outOf(fleet, action));
    }
    return out;
  }

  /** The fleet's action as the caller is to see it; what it says of a request is noted. */
  private Action outOf(int fleet, Action action) {
    if (action instanceof WakeAfter a) {
      return new WakeAfter(a.delay(), Math.addExact(Math.multiplyExact(a.token(), (long) modules.size()), fleet));
    } else if (action instanceof Send a) {
      Route route = routes.get(a.id());
      if (route != null) {
        route.attemptOut = true;
      }
    } else if (action instanceof Refuse a) {
      answered(a.id());
    } else if (action instanceof Fail a) {
      answered(a.id());
    }
    return action;
  }

  private void answered(String id) {
    Route route = routes.get(id);
    if (route != null && !route.attemptOut) {
      routes.remove(id);
    } else if (route != null) {
      route.gone = true;
    }
  }

  /** Before the module hears of it: it may send the next attempt in that very call. */
  private void ended(Ended event) {
    Route route = routes.get(event.id());
    if (route != null) {
      route.attemptOut = false;
      if (event.over() || route.gone) {
        routes.remove(event.id());
      }
    }
  }

  /** All fleets together; listed once every one of them is. */
  @Override
  public Standing standing(long now) {
    boolean listed = true;
    int known = 0;
    int avoided = 0;
    for (Balancer module : modules) {
      Standing standing = module.standing(now);
      listed &= standing.listed();
      known += standing.known();
      avoided += standing.avoided();
    }
    return new Standing(listed, known, avoided);
  }
}
