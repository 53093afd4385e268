package lemondeal.lab.emulator.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import lemondeal.Balancer;

/**
 * Common part of the baseline policies, which serve for comparison: they use discovery's server list, make sequential
 * attempts on different servers until the time or the attempts are used up, and then refuse with a retry-after time.
 * Each baseline only chooses the server. As in the literature, none of them learns from failures, sheds load or
 * protects cold servers.
 */
abstract class Baseline implements Balancer {
  private static final long RETRY_AFTER = 500_000;
  private static final long SUBSCRIBE_RETRY_DELAY = 1_000_000;
  private static final long SUBSCRIBE_TOKEN = 0;
  private static final long MOVE_TOKEN = 1;
  private static final long MOVE_INTERVAL = 500_000;

  /** A server that can be chosen. */
  static final class Target {
    final String name;
    final long hash;
    final double weight;
    /** Number of this proxy's connections and attempts on the server. */
    int openCount;

    Target(String name, double weight, int openCount) {
      this.name = name;
      this.weight = weight;
      this.openCount = openCount;
      hash = Hashes.of(name);
    }
  }

  /** A request, from its arrival to the end of its connection. */
  private static final class TrackedRequest {
    private final Request request;
    private final Set<String> tried = new HashSet<>();
    private String currentServer;
    private boolean established;

    TrackedRequest(Request request) {
      this.request = request;
    }
  }

  private final Map<String, ServerEntry> serversByName = new TreeMap<>();
  private final Map<String, Target> targets = new TreeMap<>();
  private final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
  private List<Target> ready = List.of();
  private Settings settings;
  private boolean listReceived;
  /** This proxy's random numbers. */
  protected SplittableRandom random;

  /** One of the {@link #ready} servers that is not in {@code tried}, or null if there is none. */
  abstract Target pick(Request request, Set<String> tried);

  /** Called after {@link #ready} has changed. */
  void readyServersChanged() { }

  /** Share of the connections to move away from this server now; called twice a second. */
  double shareToMove(Target target) {
    return 0;
  }

  /** The servers in state READY, in the order of their names. */
  final List<Target> ready() {
    return ready;
  }

  /** Hash of the request's placement key: its group if groups share work, its client key otherwise. */
  final long keyHash(Request request) {
    return Hashes.of(settings.groupsShareWork() && request.group() != null ? request.group() : request.key());
  }

  @Override
  public final List<Action> on(long now, Event event) {
    List<Action> actions = new ArrayList<>(2);
    if (event instanceof Start e) {
      settings = e.settings();
      random = new SplittableRandom(e.seed());
      actions.add(new WakeAfter(1 + random.nextLong(100_000), SUBSCRIBE_TOKEN));
      actions.add(new WakeAfter(MOVE_INTERVAL, MOVE_TOKEN));
    } else if (event instanceof ServerList e) {
      updateServers(e, actions);
    } else if (event instanceof Arrived e) {
      TrackedRequest tracked = new TrackedRequest(e.request());
      requests.put(e.request().id(), tracked);
      sendNextAttempt(now, tracked, actions);
    } else if (event instanceof Ended e) {
      ended(now, e, actions);
    } else if (event instanceof ClientGone e) {
      clientGone(e.id(), actions);
    } else if (event instanceof Established e && requests.containsKey(e.id())) {
      requests.get(e.id()).established = true;
    } else if (event instanceof Wake e && e.token() == MOVE_TOKEN) {
      moveConnections(actions);
    } else if (event instanceof Wake) {
      actions.add(new Subscribe(true));
    }
    return actions;
  }

  private void updateServers(ServerList list, List<Action> actions) {
    if (list.kind() == ListKind.FAILED) {
      actions.add(new WakeAfter(SUBSCRIBE_RETRY_DELAY / 2 + random.nextLong(SUBSCRIBE_RETRY_DELAY), SUBSCRIBE_TOKEN));
      return;
    }
    listReceived |= list.kind() != ListKind.SAVED;
    if (list.kind() != ListKind.CHANGES) {
      serversByName.clear();
    }
    for (ServerEntry entry : list.entries()) {
      if (entry.state() == ServerState.GONE) {
        serversByName.remove(entry.server());
      } else {
        serversByName.put(entry.server(), entry);
      }
    }
    List<Target> newReady = new ArrayList<>();
    for (ServerEntry entry : serversByName.values()) {
      Target previous = targets.get(entry.server());
      Target target = previous != null && previous.weight == entry.weight() ? previous
          : new Target(entry.server(), entry.weight(), previous == null ? 0 : previous.openCount);
      targets.put(entry.server(), target);
      if (entry.state() == ServerState.READY) {
        newReady.add(target);
      }
    }
    targets.keySet().retainAll(serversByName.keySet());
    ready = newReady;
    readyServersChanged();
  }

  private void moveConnections(List<Action> actions) {
    Map<String, Double> sharesToMove = new HashMap<>();
    for (Target target : targets.values()) {
      double share = shareToMove(target);
      if (share > 0) {
        sharesToMove.put(target.name, share);
      }
    }
    if (!sharesToMove.isEmpty()) {
      for (TrackedRequest tracked : requests.values()) {
        if (tracked.established && random.nextDouble() < sharesToMove.getOrDefault(tracked.currentServer, 0.0)) {
          actions.add(new Move(tracked.request.id()));
        }
      }
    }
    actions.add(new WakeAfter(MOVE_INTERVAL, MOVE_TOKEN));
  }

  private void sendNextAttempt(long now, TrackedRequest tracked, List<Action> actions) {
    long timeLeft = tracked.request.due() - now;
    Target target = tracked.tried.size() < settings.limits().maxAttempts() && timeLeft > 0
        ? pick(tracked.request, tracked.tried) : null;
    if (target == null) {
      requests.remove(tracked.request.id());
      actions.add(new Refuse(tracked.request.id(), RETRY_AFTER));
      return;
    }
    tracked.tried.add(target.name);
    tracked.currentServer = target.name;
    target.openCount++;
    actions.add(new Send(tracked.request.id(), target.name, Math.max(1, timeLeft / 2)));
  }

  private void ended(long now, Ended event, List<Action> actions) {
    TrackedRequest tracked = requests.get(event.id());
    if (tracked == null) {
      return;
    }
    releaseServer(tracked);
    if (event.requestFinished()) {
      requests.remove(event.id());
    } else {
      sendNextAttempt(now, tracked, actions);
    }
  }

  private void releaseServer(TrackedRequest tracked) {
    Target target = tracked.currentServer == null ? null : targets.get(tracked.currentServer);
    if (target != null) {
      target.openCount--;
    }
    tracked.currentServer = null;
  }

  private void clientGone(String id, List<Action> actions) {
    TrackedRequest tracked = requests.get(id);
    if (tracked != null && tracked.currentServer != null) {
      actions.add(new CancelAttempt(id, tracked.tried.size() - 1));
    } else {
      requests.remove(id);
    }
  }

  @Override
  public final ServerSummary serverSummary(long now) {
    return new ServerSummary(listReceived, serversByName.size(), serversByName.size() - ready.size());
  }
}
