package lemondeal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Several server pools behind one {@link Balancer}, where classes have separate servers: one decision module for each
 * pool. Routes each event to the module of its request's class or of its server, and decides nothing itself. It has no
 * other inputs than the modules. The id of a server is unique over all pools.
 */
public final class PoolRouter implements Balancer {

  /** The pool of a request, kept until no further event of the request can come. */
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
   * @param modules one for each pool
   * @param poolByClass index in {@code modules}, by class number
   */
  public PoolRouter(List<Balancer> modules, int[] poolByClass) {
    this.modules = List.copyOf(modules);
    this.poolByClass = poolByClass.clone();
  }

  /** Number of requests that are tracked; for a test that none leaks. */
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
      // The token holds the pool, see #translate.
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
      // If an attempt is still in flight, the route is kept: the module needs the attempt's end.
      requestAnswered(e.id());
    }
    return actions;
  }

  /** The pool of an event; negative if neither its request nor its server is known any more. */
  private int poolOfEvent(Event event) {
    if (event instanceof Arrived e) {
      return track(e.request(), false);
    } else if (event instanceof Adopted e) {
      return track(e.request(), true);
    } else if (event instanceof ServerList e) {
      return applyList(e);
    } else if (event instanceof ListValidity e) {
      return e.pool();
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
    throw new IllegalArgumentException("event without a server pool: " + event);
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

  /** The action as the caller sees it: wake-up tokens get the pool. Also updates the request's route. */
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

  /** Called before the module gets the event: it may send the next attempt in the same call. */
  private void attemptEnded(Ended event) {
    Route route = routes.get(event.id());
    if (route != null) {
      route.attemptInFlight = false;
      if (event.requestFinished() || route.answered) {
        routes.remove(event.id());
      }
    }
  }

  /** Sum over all pools; a list counts as received once every pool has one. */
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
