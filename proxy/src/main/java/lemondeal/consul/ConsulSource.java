package lemondeal.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.config.Addresses;
import lemondeal.config.Config;
import lemondeal.discovery.HostGroup;
import lemondeal.discovery.ListSource;
import lemondeal.log.EventLog;
import lemondeal.membership.PollBackoff;
import lemondeal.membership.ListGuard;
import lemondeal.membership.Member;
import lemondeal.membership.MemberTable;
import lemondeal.net.Net;
import lemondeal.net.Timers;
import lemondeal.saved.ListFile;

/**
 * Servers of one service from Consul's health endpoint, followed with blocking queries while the module wants a watch.
 * On the I/O thread, but for what {@link ConsulClient} and {@link ListFile} do on their own. Every answer passes
 * {@link ListGuard}, every instance the {@link Roster}'s damping, and the module is told a whole list at first, then what
 * changes: a failing check is a drain, a deregistered instance is gone. Where Consul is away the list held stays, and the
 * proxy's own probes carry on.
 */
public final class ConsulSource implements ListSource {
  private static final long MILLI = 1_000;
  /** A log line of one kind at most so often: a hundred proxies in trouble must not flood their logs. */
  private static final long LOG_INTERVAL_MILLIS = 10_000;

  private final Net net;
  private final Timers timers;
  private final HostGroup group;
  private final Consumer<ServerList> onServerList;
  private final EventLog log;
  private final int fleet;
  private final SplittableRandom random;
  private final Map<String, Long> lastLoggedAt = new HashMap<>();
  private final MemberTable memberTable;
  /** Null where the list is not kept on disk. */
  private final ListFile listFile;
  private ConsulSettings settings;
  private ConsulClient client;
  private long index;
  private long rejectedSince;
  private long version;
  private boolean fullListSent;
  /** The operator named another list: that none of those held is in it says nothing against it. */
  private boolean listChanged;
  private int agentIndex;
  private int failures;
  private boolean watching;
  /** Null while none is out. */
  private ConsulClient.Call pendingCall;
  private Timers.Timer callTimeout;
  private Timers.Timer nextCallTimer;
  private Timers.Timer recheckTimer;
  private Timers.Timer confirmTimer;
  /** Grows with each call given up and each change of settings: a reply to a call of before is not heard. */
  private int callEpoch;

  /**
   * @param fleet the source's place among those that list servers for classes of their own
   * @param seed for the draws of pauses: proxies turned away together come back apart
   * @throws IOException where the token or the certificates can't be read
   */
  public ConsulSource(Net net, Timers timers, HostGroup group, Consumer<ServerList> onServerList, ConsulSettings settings,
      EventLog log, int fleet, long seed) throws IOException {
    this.net = net;
    this.timers = timers;
    this.group = group;
    this.onServerList = onServerList;
    this.settings = settings;
    this.log = log;
    this.fleet = fleet;
    random = new SplittableRandom(seed + fleet);
    memberTable = new MemberTable(settings.damping());
    client = new ConsulClient(settings);
    listFile = settings.savedList() == null ? null
        : new ListFile(settings.savedList(), System::currentTimeMillis, log);
  }

  /** The list on disk where there is one: the guard holds the first answers to it, too. */
  @Override
  public List<ServerList> savedLists() {
    List<Member> members = listFile == null ? List.of() : listFile.read(settings.listName());
    List<MemberTable.EffectiveMember> effectiveMembers = members.isEmpty() ? List.of()
        : memberTable.apply(members, now(), System.currentTimeMillis()).changed();
    return List.of(toServerList(ListKind.SAVED, effectiveMembers, List.of()));
  }

  @Override
  public void watch(boolean on) {
    if (on && !watching) {
      watching = true;
      if (pendingCall == null) {
        query();
      }
    } else if (!on) {
      watching = false;
      cancelCalls();
    }
  }

  @Override
  public void fetch() {
    if (pendingCall == null) {
      query();
    }
  }

  /** The platform's configuration names no Consul: what changes is in the operator's file, taken by {@link #reload}. */
  @Override
  public void reconfigure(Config newConfig) {
    // Nothing of the platform's configuration is Consul's.
  }

  /**
   * Takes other settings over, such as a new token, certificates, agents or service, read anew on SIGHUP; on any thread.
   * The list held stays until the new settings bring one.
   *
   * @throws IOException where the files can't be used: the settings before stay
   */
  public void reload(ConsulSettings newSettings) throws IOException {
    ConsulClient newClient = new ConsulClient(newSettings);
    net.execute(() -> applySettings(newSettings, newClient));
  }

  private void applySettings(ConsulSettings newSettings, ConsulClient newClient) {
    listChanged |= !newSettings.listName().equals(settings.listName());
    cancelCalls();
    client.close();
    settings = newSettings;
    client = newClient;
    memberTable.updateSettings(newSettings.damping());
    agentIndex = 0;
    failures = 0;
    // An answer at once: the mapping may be another one, and the service, too.
    index = 0;
    if (watching) {
      query();
    }
  }

  /** Milliseconds on the process's own clock: quiet times, pauses and waits are spans, whatever the wall clock does. */
  private long now() {
    return timers.now() / MILLI;
  }

  private void cancelCalls() {
    abandonCall();
    Timers.cancel(nextCallTimer);
    nextCallTimer = null;
  }

  private void abandonCall() {
    callEpoch++;
    Timers.cancel(callTimeout);
    callTimeout = null;
    if (pendingCall != null) {
      pendingCall.cancel();
      pendingCall = null;
    }
  }

  private void query() {
    nextCallTimer = null;
    int queryEpoch = ++callEpoch;
    long queryIndex = watching ? index : 0;
    long timeoutMillis = client.callTimeoutMillis(queryIndex);
    pendingCall = client.query(agentIndex, queryIndex, reply -> net.execute(() -> {
      if (queryEpoch == callEpoch) {
        pendingCall = null;
        Timers.cancel(callTimeout);
        onReply(reply);
      }
    }));
    callTimeout = timers.after(timeoutMillis * MILLI, () -> {
      abandonCall();
      onReply(ConsulClient.Reply.failed("no whole answer in " + timeoutMillis + " ms", timeoutMillis));
    });
  }

  private void onReply(ConsulClient.Reply reply) {
    if (!reply.successful()) {
      onFailure(reply);
      return;
    }
    failures = 0;
    if (!reply.unusableEntries().isEmpty()) {
      tell("consul-unusable", "", "lemondeal: " + reply.unusableEntries().size() + " of Consul's instances can't be used, as "
          + reply.unusableEntries().get(0), "count", reply.unusableEntries().size());
    }
    long now = now();
    ListGuard.Verdict verdict = ListGuard.evaluate(new ListGuard.Answer(reply.index(), reply.knownLeader(),
        reply.lastContact(), settings.consistency() == ConsulSettings.Consistency.STALE, reply.members().size(),
        listChanged ? 0 : memberTable.countLost(reply.members())), new ListGuard.HeldList(index, memberTable.servingCount(), rejectedSince), now, settings.guard());
    if (verdict instanceof ListGuard.Accept accept) {
      acceptReply(reply, accept, now);
    } else if (verdict instanceof ListGuard.Reject reject) {
      rejectReply(reply, reject, now);
    }
  }

  private void acceptReply(ConsulClient.Reply reply, ListGuard.Accept accept, long now) {
    // A blocking query that returns with nothing changed, as after its wait, says nothing new.
    boolean unchanged = reply.index() == index && index > 0 && rejectedSince == 0 && fullListSent;
    rejectedSince = 0;
    listChanged = false;
    Timers.cancel(confirmTimer);
    confirmTimer = null;
    index = accept.nextIndex();
    if (!unchanged) {
      MemberTable.Change change = memberTable.apply(reply.members(), now, System.currentTimeMillis());
      if (!fullListSent) {
        fullListSent = true;
        onServerList.accept(toServerList(ListKind.FULL, memberTable.effectiveMembers(), List.of()));
      } else {
        tell(change);
      }
      if (listFile != null) {
        listFile.save(settings.listName(), reply.members());
      }
      scheduleRecheck(now);
    }
    scheduleQuery(PollBackoff.nextDelay(PollBackoff.CallOutcome.ANSWERED, 0, reply.durationMillis(), random.nextDouble(), settings.backoff()));
  }

  private void rejectReply(ConsulClient.Reply reply, ListGuard.Reject reject, long now) {
    tell("consul-kept", reject.reason().replaceAll("[0-9]", ""), "lemondeal: Consul's answer is not believed ("
        + reject.reason() + "); the list held stays", "why", reject.reason());
    index = reject.nextIndex();
    if (reject.bySize() && rejectedSince == 0) {
      rejectedSince = now;
      confirmTimer = timers.after(settings.guard().confirmAfterMillis() * MILLI, this::confirmRejected);
    }
    scheduleQuery(reject.bySize() ? PollBackoff.nextDelay(PollBackoff.CallOutcome.ANSWERED, 0, reply.durationMillis(), random.nextDouble(), settings.backoff())
        : PollBackoff.nextDelay(PollBackoff.CallOutcome.FAILED, failures++, reply.durationMillis(), random.nextDouble(), settings.backoff()));
  }

  /** An answer kept for its size is asked for once more, at once: if it stands, it is believed. */
  private void confirmRejected() {
    confirmTimer = null;
    if (rejectedSince > 0 && watching) {
      cancelCalls();
      index = 0;
      query();
    }
  }

  private void onFailure(ConsulClient.Reply reply) {
    PollBackoff.CallOutcome outcome = reply.status() == 429 ? PollBackoff.CallOutcome.TOO_OFTEN : PollBackoff.CallOutcome.FAILED;
    InetSocketAddress failedAgent = settings.agents().get(agentIndex);
    // Another agent may answer where this one does not; one that says it is asked too often is asked less.
    if (outcome == PollBackoff.CallOutcome.FAILED && settings.agents().size() > 1) {
      agentIndex = (agentIndex + 1) % settings.agents().size();
    }
    tell("consul-failed", Addresses.format(failedAgent) + " " + reply.status(), "lemondeal: Consul at " + Addresses.format(failedAgent)
        + " did not answer: " + reply.error() + "; the list held stays", "agent", Addresses.format(failedAgent), "why",
        reply.error());
    scheduleQuery(PollBackoff.nextDelay(outcome, failures++, reply.durationMillis(), random.nextDouble(), settings.backoff()));
  }

  private void scheduleQuery(long millis) {
    if (!watching) {
      return;
    }
    if (millis <= 0) {
      query();
    } else {
      nextCallTimer = timers.after(millis * MILLI, this::query);
    }
  }

  private void tell(MemberTable.Change change) {
    if (!change.isEmpty()) {
      onServerList.accept(toServerList(ListKind.CHANGES, change.changed(), change.removed()));
    }
  }

  private ServerList toServerList(ListKind kind, List<MemberTable.EffectiveMember> effectiveMembers, List<String> removed) {
    List<ServerEntry> entries = new ArrayList<>(effectiveMembers.size() + removed.size());
    Map<String, InetSocketAddress> addresses = new HashMap<>(effectiveMembers.size() * 2);
    for (MemberTable.EffectiveMember effective : effectiveMembers) {
      Member member = effective.member();
      entries.add(new ServerEntry(member.id(), group.zoneIndex(member.zone()), member.cell(), group.modelIndex(member.model()),
          effective.startedAt() * MILLI, effective.serves() ? ServerState.READY : ServerState.DRAINING, effective.weight()));
      addresses.put(member.id(), member.address());
    }
    for (String id : removed) {
      entries.add(new ServerEntry(id, 0, 0, 0, 0, ServerState.GONE, 1));
    }
    return group.applySourceUpdate(++version, kind, entries, addresses, fleet);
  }

  /** A drained instance that stays well serves again after its quiet time, though Consul has nothing new to say. */
  private void scheduleRecheck(long now) {
    Timers.cancel(recheckTimer);
    recheckTimer = memberTable.nextRecheckAt() == Long.MAX_VALUE ? null
        : timers.after(Math.max(1, memberTable.nextRecheckAt() - now) * MILLI, this::recheck);
  }

  private void recheck() {
    long now = now();
    tell(memberTable.recheck(now));
    scheduleRecheck(now);
  }

  /** Tells an event, at most once in a while for each kind of it: {@code kind} tells kinds of one event apart. */
  private void tell(String event, String kind, String line, Object... fields) {
    long now = now();
    Long last = lastLoggedAt.get(event + " " + kind);
    if (last == null || now - last >= LOG_INTERVAL_MILLIS) {
      lastLoggedAt.put(event + " " + kind, now);
      log.warn(event, line, fields);
    }
  }

  /** Ends the calls, the timers and the threads; what is to be saved is saved. On any thread, at the end. */
  public void close() {
    watching = false;
    cancelCalls();
    Timers.cancel(confirmTimer);
    Timers.cancel(recheckTimer);
    client.close();
    if (listFile != null) {
      listFile.close();
    }
  }
}
