package lemondeal.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.config.Addresses;
import lemondeal.config.Config;
import lemondeal.discovery.HostGroup;
import lemondeal.discovery.ListSource;
import lemondeal.log.EventLog;
import lemondeal.membership.AskPace;
import lemondeal.membership.Damping;
import lemondeal.membership.Health;
import lemondeal.membership.ListGuard;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/**
 * Servers from Consul's health endpoint, followed with blocking queries while the module wants a watch. On the I/O
 * thread, but for what {@link ConsulClient} does on its own. Every answer passes {@link ListGuard}, every instance
 * {@link Damping}, and the module is told whole lists: a failing check is a drain, a deregistered instance is gone.
 * Where Consul is away the list held stays, and the proxy's own probes carry on.
 */
public final class ConsulSource implements ListSource {
  private static final long MILLI = 1_000;
  /** A log line of one kind at most so often: a hundred proxies in trouble must not flood their logs. */
  private static final long TELL_EVERY_MILLIS = 10_000;

  /** What is held of one instance. */
  private record Held(Mapping.Member member, Damping.State state, long startedAt) {}

  private final Net net;
  private final Timers timers;
  private final HostGroup group;
  private final Consumer<ServerList> told;
  private final EventLog log;
  private final SplittableRandom random;
  private final Map<String, Long> toldAt = new HashMap<>();
  private ConsulSettings settings;
  private ConsulClient client;
  private Map<String, Held> held = new HashMap<>();
  private List<Mapping.Member> lastTaken = List.of();
  private long index;
  private long keptSince;
  private long version;
  private int agent;
  private int failures;
  private boolean watching;
  private CompletableFuture<?> out;
  private Timers.Timer next;
  private Timers.Timer recheck;
  private Timers.Timer confirm;
  /** Grows with each change of settings: a reply to a call of before is not heard. */
  private int epoch;

  /**
   * @param seed for the draws of pauses: proxies turned away together come back apart
   * @throws IOException where the token or the certificates can't be read
   */
  public ConsulSource(Net net, Timers timers, HostGroup group, Consumer<ServerList> told, ConsulSettings settings,
      EventLog log, long seed) throws IOException {
    this.net = net;
    this.timers = timers;
    this.group = group;
    this.told = told;
    this.settings = settings;
    this.log = log;
    random = new SplittableRandom(seed);
    client = new ConsulClient(settings);
  }

  /** A maker for {@link lemondeal.proxy.Proxy}; the settings are checked, the files read when the proxy is made. */
  public static ListSource.Maker maker(ConsulSettings settings, EventLog log, Consumer<ConsulSource> made) {
    return (net, timers, limits, config, group, told) -> {
      try {
        ConsulSource source = new ConsulSource(net, timers, group, told, settings, log, config.seed());
        made.accept(source);
        return source;
      } catch (IOException e) {
        throw new lemondeal.config.ConfigException("discovery.consul: " + e.getMessage());
      }
    };
  }

  @Override
  public void watch(boolean on) {
    if (on && !watching) {
      watching = true;
      if (out == null) {
        ask();
      }
    } else if (!on) {
      watching = false;
      cancel();
    }
  }

  @Override
  public void fetch() {
    if (out == null) {
      ask();
    }
  }

  /** The platform's configuration names no Consul: what changes is in the operator's file, taken by {@link #use}. */
  @Override
  public void reconfigure(Config fresh) {
    // Nothing of the platform's configuration is Consul's.
  }

  /**
   * Takes other settings over, such as a new token, certificates, agents or service, read anew on SIGHUP; on any thread.
   * The list held stays until the new settings bring one.
   *
   * @throws IOException where the files can't be used: the settings before stay
   */
  public void reload(ConsulSettings fresh) throws IOException {
    ConsulClient made = new ConsulClient(fresh);
    net.later(() -> use(fresh, made));
  }

  private void use(ConsulSettings fresh, ConsulClient made) {
    ConsulClient before = client;
    boolean otherService = !fresh.service().equals(settings.service())
        || !fresh.datacenter().equals(settings.datacenter()) || !fresh.filter().equals(settings.filter());
    settings = fresh;
    client = made;
    before.close();
    agent = 0;
    failures = 0;
    if (otherService) {
      index = 0;
    }
    cancel();
    if (watching) {
      ask();
    }
  }

  private void cancel() {
    epoch++;
    if (out != null) {
      out.cancel(true);
      out = null;
    }
    if (next != null) {
      next.cancel();
      next = null;
    }
  }

  private void ask() {
    next = null;
    int asked = epoch;
    out = client.ask(agent, watching ? index : 0, reply -> net.later(() -> {
      if (asked == epoch) {
        out = null;
        heard(reply);
      }
    }));
  }

  private void heard(ConsulClient.Reply reply) {
    if (!reply.answered()) {
      failed(reply);
      return;
    }
    failures = 0;
    if (!reply.unusable().isEmpty()) {
      tell("consul-unusable", "", "lemondeal: " + reply.unusable().size() + " of Consul's instances can't be used, as "
          + reply.unusable().get(0), "count", reply.unusable().size());
    }
    long now = System.currentTimeMillis();
    ListGuard.Verdict verdict = ListGuard.judge(new ListGuard.Answer(reply.index(), reply.knownLeader(),
        reply.lastContact(), settings.consistency() == ConsulSettings.Consistency.STALE, reply.members().size(),
        lost(reply.members())), new ListGuard.Held(index, serving(), keptSince), now, settings.guard());
    if (verdict instanceof ListGuard.Take take) {
      // A blocking query that returns with nothing changed, as after its wait, says nothing new.
      boolean same = reply.index() == index && index > 0 && keptSince == 0;
      keptSince = 0;
      Timers.cancel(confirm);
      confirm = null;
      index = take.from();
      if (!same) {
        lastTaken = reply.members();
        take(reply.members(), now);
      }
      again(AskPace.pause(AskPace.Ended.ANSWERED, 0, reply.took(), random.nextDouble(), settings.pace()));
    } else if (verdict instanceof ListGuard.Keep keep) {
      tell("consul-kept", keep.why().replaceAll("[0-9]", ""), "lemondeal: Consul's answer is not believed ("
          + keep.why() + "); the list held stays", "why", keep.why());
      index = keep.from();
      if (keep.bySize() && keptSince == 0) {
        keptSince = now;
        confirm = timers.after(settings.guard().confirmAfter() * MILLI, this::confirm);
      }
      again(keep.bySize() ? AskPace.pause(AskPace.Ended.ANSWERED, 0, reply.took(), random.nextDouble(), settings.pace())
          : AskPace.pause(AskPace.Ended.FAILED, failures++, reply.took(), random.nextDouble(), settings.pace()));
    }
  }

  /** An answer kept for its size is asked for once more, at once: if it stands, it is believed. */
  private void confirm() {
    confirm = null;
    if (keptSince > 0 && watching) {
      cancel();
      index = 0;
      ask();
    }
  }

  private void failed(ConsulClient.Reply reply) {
    AskPace.Ended ended = reply.status() == 429 ? AskPace.Ended.TOO_OFTEN : AskPace.Ended.FAILED;
    InetSocketAddress asked = settings.agents().get(agent);
    // Another agent may answer where this one does not; one that says it is asked too often is asked less.
    if (ended == AskPace.Ended.FAILED && settings.agents().size() > 1) {
      agent = (agent + 1) % settings.agents().size();
    }
    tell("consul-failed", Addresses.text(asked) + " " + reply.status(), "lemondeal: Consul at " + Addresses.text(asked)
        + " did not answer: " + reply.fault() + "; the list held stays", "agent", Addresses.text(asked), "why",
        reply.fault());
    again(AskPace.pause(ended, failures++, reply.took(), random.nextDouble(), settings.pace()));
  }

  private void again(long millis) {
    if (!watching) {
      return;
    }
    if (millis <= 0) {
      ask();
    } else {
      next = timers.after(millis * MILLI, this::ask);
    }
  }

  /** Instances held that serve and are missing from the answer or fail in it. */
  private int lost(List<Mapping.Member> members) {
    Map<String, Health> seen = new HashMap<>();
    for (Mapping.Member member : members) {
      seen.put(member.id(), member.health());
    }
    int lost = 0;
    for (Held one : held.values()) {
      Health now = seen.get(one.member().id());
      if (one.state().serves() && (now == null || !now.serves())) {
        lost++;
      }
    }
    return lost;
  }

  private int serving() {
    int serving = 0;
    for (Held one : held.values()) {
      serving += one.state().serves() ? 1 : 0;
    }
    return serving;
  }

  /** Believes a list: every instance through damping, and the module told the whole of it. */
  private void take(List<Mapping.Member> members, long now) {
    Map<String, Held> fresh = new HashMap<>();
    List<ServerEntry> entries = new ArrayList<>(members.size());
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    long wake = Long.MAX_VALUE;
    boolean first = held.isEmpty() && version == 0;
    for (Mapping.Member member : members) {
      if (fresh.containsKey(member.id())) {
        continue;
      }
      Held before = held.get(member.id());
      Damping.State state = before == null ? Damping.State.first(member.health(), now)
          : Damping.next(before.state(), member.health(), now, settings.damping());
      // Registered anew: a restart, and so a cold server. What was there at the first answer started long ago.
      long startedAt = before != null && before.member().createIndex() == member.createIndex() ? before.startedAt()
          : first ? 0 : now * MILLI;
      fresh.put(member.id(), new Held(member, state, startedAt));
      if (!state.serves() && member.health().serves()) {
        wake = Math.min(wake, Damping.servesAgainAt(state, settings.damping()));
      }
      int weight = member.health() == Health.WARNING ? member.warningWeight() : member.passingWeight();
      ServerState serverState = state.serves() && weight > 0 ? ServerState.READY : ServerState.DRAINING;
      entries.add(new ServerEntry(member.id(), group.zone(member.zone()), member.cell(), group.model(member.model()),
          startedAt, serverState, Math.max(weight, 1)));
      addresses.put(member.id(), member.address());
    }
    held = fresh;
    told.accept(group.replace(++version, entries, addresses));
    recheckAt(wake, now);
  }

  /** A drained instance that stays well serves again after its quiet time, though Consul has nothing new to say. */
  private void recheckAt(long wake, long now) {
    if (recheck != null) {
      recheck.cancel();
      recheck = null;
    }
    if (wake != Long.MAX_VALUE) {
      recheck = timers.after(Math.max(1, wake - now) * MILLI, () -> {
        recheck = null;
        take(lastTaken, System.currentTimeMillis());
      });
    }
  }

  /** Tells an event, at most once in a while for each kind of it: {@code kind} tells kinds of one event apart. */
  private void tell(String event, String kind, String line, Object... fields) {
    long now = System.currentTimeMillis();
    Long last = toldAt.get(event + " " + kind);
    if (last == null || now - last >= TELL_EVERY_MILLIS) {
      toldAt.put(event + " " + kind, now);
      log.warn(event, line, fields);
    }
  }

  /** Ends the calls and the client's thread. */
  public void close() {
    watching = false;
    cancel();
    Timers.cancel(confirm);
    Timers.cancel(recheck);
    client.close();
  }
}
