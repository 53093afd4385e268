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
public final class PoolRouter implements Balancer {

  /** Where a request is decided, until nothing of it can come any more. */
  private static final class Route {
    private final int pool;
    private boolean attemptInFlight;
    private boolean answered;

    Route(int pool, boolean attemptInFlight) {
      this.pool = pool;
      this.attemptInFlight = attemptInFlight;
    }
  }

  private final List<Balancer> modules;
  private final int[] poolByClass;
  private final Map<String, Route> routes = new HashMap<>();
  private final Map<String, Integer> poolByServer = new HashMap<>();

  /**
   * @param modules one a fleet
   * @param fleetOf the place in {@code modules} of each class, by the class's number
   */
  public PoolRouter(List<Balancer> modules, int[] poolByClass) {
    this.modules = List.copyOf(modules);
    this.poolByClass = poolByClass.clone();
  }

  /** Requests that are known now: for a test that none is kept. */
  int trackedRequests() {
    return routes.size();
  }

  @Override
  public List<Action> on(long now, Event event) {
    if (event instanceof Start || event instanceof PeerMessage || event instanceof ZoneOpen) {
      List<Action> all = new ArrayList<>();
      for (int pool = 0; pool < modules.size(); pool++) {
        all.addAll(dispatch(pool, now, event instanceof Start s ? new Start(s.seed() + pool, s.settings()) : event));
      }
      return all;
    }
    if (event instanceof Wake e) {
      // See #outOf: a wake's token tells whose it is.
      int pool = (int) Math.floorMod(e.token(), (long) modules.size());
      return dispatch(pool, now, new Wake(Math.floorDiv(e.token(), (long) modules.size())));
    }
    int pool = poolOfEvent(event);
    if (pool < 0) {
      return List.of();
    }
    if (event instanceof Ended e) {
      attemptEnded(e);
    }
    List<Action> actions = dispatch(pool, now, event);
    if (event instanceof ClientGone e) {
      // An attempt of it may still be out, and its end is the module's to hear.
      requestAnswered(e.id());
    }
    return actions;
  }

  /** Whose event it is; below 0 where its request and its server are both forgotten, and nothing is to be learnt. */
  private int poolOfEvent(Event event) {
    if (event instanceof Arrived e) {
      return track(e.request(), false);
    } else if (event instanceof Adopted e) {
      return track(e.request(), true);
    } else if (event instanceof ServerList e) {
      return applyList(e);
    } else if (event instanceof Established e) {
      return findPool(e.id(), e.server());
    } else if (event instanceof Ended e) {
      return findPool(e.id(), e.server());
    } else if (event instanceof LoadChanged e) {
      return findPool(e.id(), e.server());
    } else if (event instanceof MessageDelay e) {
      return findPool(e.id(), e.server());
    } else if (event instanceof Unanswered e) {
      return findPool(e.id(), e.server());
    } else if (event instanceof ProbeResult e) {
      return poolByServer.getOrDefault(e.server(), -1);
    } else if (event instanceof ClientGone e) {
      return findPool(e.id(), "");
    }
    throw new IllegalArgumentException("an event without a fleet: " + event);
  }

  private int track(Request request, boolean attemptInFlight) {
    int pool = poolByClass[request.requestClass()];
    routes.put(request.id(), new Route(pool, attemptInFlight));
    return pool;
  }

  private int findPool(String requestId, String server) {
    Route route = routes.get(requestId);
    return route != null ? route.pool : poolByServer.getOrDefault(server, -1);
  }

  private int applyList(ServerList list) {
    if (list.kind() == ListKind.FULL || list.kind() == ListKind.SAVED) {
      poolByServer.values().removeIf(pool -> pool == list.pool());
    }
    for (ServerEntry entry : list.entries()) {
      if (entry.state() == ServerState.GONE) {
        poolByServer.remove(entry.server());
      } else {
        poolByServer.put(entry.server(), list.pool());
      }
    }
    return list.pool();
  }

  private List<Action> dispatch(int pool, long now, Event event) {
    List<Action> actions = modules.get(pool).on(now, event);
    if (actions.isEmpty()) {
      return actions;
    }
    List<Action> translated = new ArrayList<>(actions.size());
    for (Action action : actions) {
      translated.add(translate(pool, action));
    }
    return translated;
  }

  /** The fleet's action as the caller is to see it; what it says of a request is noted. */
  private Action translate(int pool, Action action) {
    if (action instanceof WakeAfter a) {
      return new WakeAfter(a.delay(), Math.addExact(Math.multiplyExact(a.token(), (long) modules.size()), pool));
    } else if (action instanceof Send a) {
      Route route = routes.get(a.id());
      if (route != null) {
        route.attemptInFlight = true;
      }
    } else if (action instanceof Refuse a) {
      requestAnswered(a.id());
    } else if (action instanceof Fail a) {
      requestAnswered(a.id());
    }
    return action;
  }

  private void requestAnswered(String id) {
    Route route = routes.get(id);
    if (route != null && !route.attemptInFlight) {
      routes.remove(id);
    } else if (route != null) {
      route.answered = true;
    }
  }

  /** Before the module hears of it: it may send the next attempt in that very call. */
  private void attemptEnded(Ended event) {
    Route route = routes.get(event.id());
    if (route != null) {
      route.attemptInFlight = false;
      if (event.requestFinished() || route.answered) {
        routes.remove(event.id());
      }
    }
  }

  /** All fleets together; listed once every one of them is. */
  @Override
  public ServerSummary serverSummary(long now) {
    boolean listReceived = true;
    int known = 0;
    int avoided = 0;
    for (Balancer module : modules) {
      ServerSummary summary = module.serverSummary(now);
      listReceived &= summary.listReceived();
      known += summary.known();
      avoided += summary.avoided();
    }
    return new ServerSummary(listReceived, known, avoided);
  }
}
