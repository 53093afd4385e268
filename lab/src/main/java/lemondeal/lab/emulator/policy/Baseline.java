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
 * What all baselines share, written for comparison: the list as discovery tells it, attempts one after the other on other
 * servers until the time or the attempts are used up, and advice to come later where nothing is left. Which server is
 * each one's own; none of them learns from failures, sheds, or spares cold servers, as their textbooks do not.
 */
abstract class Baseline implements Balancer {
  private static final long ADVICE = 500_000;
  private static final long ASK_AGAIN = 1_000_000;
  private static final long ASK_TOKEN = 0;
  private static final long LOOK_TOKEN = 1;
  private static final long LOOK_EVERY = 500_000;

  /** One server that may be chosen. */
  static final class Target {
    final String name;
    final long hash;
    final double weight;
    /** Connections and attempts of this proxy's there. */
    int open;

    Target(String name, double weight, int open) {
      this.name = name;
      this.weight = weight;
      this.open = open;
      hash = Hashes.of(name);
    }
  }

  /** One request that is known. */
  private static final class Flow {
    private final Request request;
    private final Set<String> tried = new HashSet<>();
    private String at;
    private boolean established;

    Flow(Request request) {
      this.request = request;
    }
  }

  private final Map<String, ServerEntry> listed = new TreeMap<>();
  private final Map<String, Target> targets = new TreeMap<>();
  private final Map<String, Flow> flows = new LinkedHashMap<>();
  private List<Target> ready = List.of();
  private Settings settings;
  private boolean told;
  /** Draws of this proxy's own. */
  protected SplittableRandom random;

  /** One of {@link #ready} that is not in {@code tried}, or null where there is none. */
  abstract Target pick(Request request, Set<String> tried);

  /** Called when {@link #ready} has changed. */
  void changed() { }

  /** Share of the clients at this server that are to leave it now; asked twice a second. */
  double leaving(Target target) {
    return 0;
  }

  /** Servers in service, in the order of their names. */
  final List<Target> ready() {
    return ready;
  }

  /** What the request is placed by: its group where groups share work, else its client. */
  final long keyOf(Request request) {
    return Hashes.of(settings.groupsShareWork() && request.group() != null ? request.group() : request.key());
  }

  @Override
  public final List<Action> on(long now, Event event) {
    List<Action> out = new ArrayList<>(2);
    if (event instanceof Start e) {
      settings = e.settings();
      random = new SplittableRandom(e.seed());
      out.add(new WakeAfter(1 + random.nextLong(100_000), ASK_TOKEN));
      out.add(new WakeAfter(LOOK_EVERY, LOOK_TOKEN));
    } else if (event instanceof ServerList e) {
      listed(e, out);
    } else if (event instanceof Arrived e) {
      Flow flow = new Flow(e.request());
      flows.put(e.request().id(), flow);
      attempt(now, flow, out);
    } else if (event instanceof Ended e) {
      ended(now, e, out);
    } else if (event instanceof ClientGone e) {
      clientGone(e.id(), out);
    } else if (event instanceof Established e && flows.containsKey(e.id())) {
      flows.get(e.id()).established = true;
    } else if (event instanceof Wake e && e.token() == LOOK_TOKEN) {
      look(out);
    } else if (event instanceof Wake) {
      out.add(new Subscribe(true));
    }
    return out;
  }

  private void listed(ServerList list, List<Action> out) {
    if (list.kind() == ListKind.FAILED) {
      out.add(new WakeAfter(ASK_AGAIN / 2 + random.nextLong(ASK_AGAIN), ASK_TOKEN));
      return;
    }
    told |= list.kind() != ListKind.SAVED;
    if (list.kind() != ListKind.CHANGES) {
      listed.clear();
    }
    for (ServerEntry entry : list.entries()) {
      if (entry.state() == ServerState.GONE) {
        listed.remove(entry.server());
      } else {
        listed.put(entry.server(), entry);
      }
    }
    List<Target> fresh = new ArrayList<>();
    for (ServerEntry entry : listed.values()) {
      Target before = targets.get(entry.server());
      Target target = before != null && before.weight == entry.weight() ? before
          : new Target(entry.server(), entry.weight(), before == null ? 0 : before.open);
      targets.put(entry.server(), target);
      if (entry.state() == ServerState.READY) {
        fresh.add(target);
      }
    }
    targets.keySet().retainAll(listed.keySet());
    ready = fresh;
    changed();
  }

  private void look(List<Action> out) {
    Map<String, Double> shares = new HashMap<>();
    for (Target target : targets.values()) {
      double share = leaving(target);
      if (share > 0) {
        shares.put(target.name, share);
      }
    }
    if (!shares.isEmpty()) {
      for (Flow flow : flows.values()) {
        if (flow.established && random.nextDouble() < shares.getOrDefault(flow.at, 0.0)) {
          out.add(new Move(flow.request.id()));
        }
      }
    }
    out.add(new WakeAfter(LOOK_EVERY, LOOK_TOKEN));
  }

  private void attempt(long now, Flow flow, List<Action> out) {
    long left = flow.request.due() - now;
    Target target = flow.tried.size() < settings.limits().maxAttempts() && left > 0 ? pick(flow.request, flow.tried)
        : null;
    if (target == null) {
      flows.remove(flow.request.id());
      out.add(new Refuse(flow.request.id(), ADVICE));
      return;
    }
    flow.tried.add(target.name);
    flow.at = target.name;
    target.open++;
    out.add(new Send(flow.request.id(), target.name, Math.max(1, left / 2)));
  }

  private void ended(long now, Ended event, List<Action> out) {
    Flow flow = flows.get(event.id());
    if (flow == null) {
      return;
    }
    leave(flow);
    if (event.requestFinished()) {
      flows.remove(event.id());
    } else {
      attempt(now, flow, out);
    }
  }

  private void leave(Flow flow) {
    Target target = flow.at == null ? null : targets.get(flow.at);
    if (target != null) {
      target.open--;
    }
    flow.at = null;
  }

  private void clientGone(String id, List<Action> out) {
    Flow flow = flows.get(id);
    if (flow != null && flow.at != null) {
      out.add(new CancelAttempt(id, flow.tried.size() - 1));
    } else {
      flows.remove(id);
    }
  }

  @Override
  public final ServerSummary serverSummary(long now) {
    return new ServerSummary(told, listed.size(), listed.size() - ready.size());
  }
}
