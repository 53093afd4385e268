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
import lemondeal.discovery.clock.ListClock;
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
 * Runs on the I/O thread, except for the threads of {@link ConsulClient} and {@link ListFile}. Every answer passes
 * through {@link ListGuard} and every instance through the damping of {@link MemberTable}. The module receives a full
 * list first and then the changes: a failing check drains an instance, and a deregistered instance is gone. While
 * Consul is unavailable the held list stays, and the proxy's own probes continue.
 */
public final class ConsulSource implements ListSource {
  private static final long MILLI = 1_000;
  /** Minimum time between two log lines of one kind: a hundred proxies in trouble must not flood their logs. */
  private static final long LOG_INTERVAL_MILLIS = 10_000;

  private final Net net;
  private final Timers timers;
  private final HostGroup group;
  private final Consumer<ServerList> onServerList;
  private final EventLog log;
  private final int pool;
  private final SplittableRandom random;
  private final Map<String, Long> lastLoggedAt = new HashMap<>();
  private final MemberTable memberTable;
  /** Null if the list is not saved on disk. */
  private final ListFile listFile;
  private ConsulSettings settings;
  private ConsulClient client;
  private long index;
  /** When an answer was first rejected for its size, in milliseconds; 0 if the last one was not. */
  private long rejectedSince;
  /** Whether that answer was empty. */
  private boolean emptyRejected;
  private long version;
  private boolean fullListSent;
  /** Whether the operator has configured another list: its first answer is then expected to lack the instances held. */
  private boolean listChanged;
  private int agentIndex;
  private int failures;
  private boolean watching;
  /** Null while no call is pending. */
  private ConsulClient.Call pendingCall;
  private Timers.Timer callTimeout;
  private Timers.Timer nextCallTimer;
  private Timers.Timer recheckTimer;
  private Timers.Timer confirmTimer;
  /** Incremented when a call is abandoned or the settings change; replies to earlier calls are ignored. */
  private int callEpoch;

  /**
   * @param pool the index of the source's server pool; each source lists the servers of classes of its own
   * @param seed for the jitter of pauses: proxies rejected together must not retry together
   * @throws IOException if the token or the certificates can't be read
   */
  public ConsulSource(Net net, Timers timers, HostGroup group, Consumer<ServerList> onServerList,
      ConsulSettings settings, EventLog log, int pool, long seed) throws IOException {
    this.net = net;
    this.timers = timers;
    this.group = group;
    this.onServerList = onServerList;
    this.settings = settings;
    this.log = log;
    this.pool = pool;
    random = new SplittableRandom(seed + pool);
    memberTable = new MemberTable(settings.damping());
    client = new ConsulClient(settings);
    listFile = settings.savedList() == null ? null
        : new ListFile(settings.savedList(), System::currentTimeMillis, log);
  }

  /** The list on disk, if there is one; the guard compares the first answers with it as well. */
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

  /** No limit: while Consul can't be reached or believed, the held list stays in use. */
  @Override
  public ListClock.Validity validity(int pool) {
    return ListClock.Validity.UNLIMITED;
  }

  /**
   * No effect: the platform's configuration has no Consul settings. Those are in the operator's file and are applied by
   * {@link #reload}.
   */
  @Override
  public void reconfigure(Config newConfig) {
    // Consul has no settings in the platform's configuration.
  }

  /**
   * Applies new settings that were reloaded on SIGHUP, such as a new token, certificates, agents or service; callable
   * on any thread. The held list stays until a query with the new settings returns one.
   *
   * @throws IOException if the files can't be used; the previous settings stay
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
    // Requests an immediate answer: the mapping or the service may have changed.
    index = 0;
    if (watching) {
      query();
    }
  }

  /** Milliseconds on a monotonic clock, so that quiet periods, pauses and waits do not depend on wall clock changes. */
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
    // After a failure the answer must not wait: the catalog may have changed, or begun anew with a lower index.
    long queryIndex = watching && failures == 0 ? index : 0;
    pendingCall = client.query(agentIndex, queryIndex,
        () -> net.execute(() -> runInCall(queryEpoch, () -> startCallTimeout(ConsulClient.BODY_TIMEOUT_MILLIS))),
        reply -> net.execute(() -> runInCall(queryEpoch, () -> {
          pendingCall = null;
          Timers.cancel(callTimeout);
          onReply(reply);
        })));
    startCallTimeout(client.responseTimeoutMillis(queryIndex));
  }

  /** Runs the task unless this call has been abandoned. */
  private void runInCall(int queryEpoch, Runnable task) {
    if (queryEpoch == callEpoch) {
      task.run();
    }
  }

  /** Limits the next part of the pending call, until its answer begins or until it is complete. */
  private void startCallTimeout(long millis) {
    Timers.cancel(callTimeout);
    callTimeout = timers.after(millis * MILLI, () -> {
      abandonCall();
      onReply(ConsulClient.Reply.failed("no whole answer in " + millis + " ms", millis));
    });
  }

  private void onReply(ConsulClient.Reply reply) {
    if (!reply.successful()) {
      onFailure(reply);
      return;
    }
    failures = 0;
    if (!reply.unusableEntries().isEmpty()) {
      logRateLimited("consul-unusable", "", "lemondeal: " + reply.unusableEntries().size()
          + " of Consul's instances can't be used, for example " + reply.unusableEntries().get(0),
          "count", reply.unusableEntries().size());
    }
    long now = now();
    ListGuard.Verdict verdict = ListGuard.evaluate(new ListGuard.Answer(reply.index(), reply.knownLeader(),
        reply.lastContact(), settings.consistency() == ConsulSettings.Consistency.STALE, reply.members().size(),
        listChanged ? 0 : memberTable.countMissing(reply.members())),
        new ListGuard.HeldList(index, memberTable.servingCount(), rejectedSince), now, settings.guard());
    if (verdict instanceof ListGuard.Accept accept) {
      acceptReply(reply, accept, now);
    } else if (verdict instanceof ListGuard.Reject reject) {
      rejectReply(reply, reject, now);
    }
  }

  private void acceptReply(ConsulClient.Reply reply, ListGuard.Accept accept, long now) {
    // A blocking query that returns without a change, such as after its wait, has no new information.
    boolean unchanged = reply.index() == index && index > 0 && rejectedSince == 0 && fullListSent;
    rejectedSince = 0;
    listChanged = false;
    Timers.cancel(confirmTimer);
    confirmTimer = null;
    index = accept.nextIndex();
    if (!unchanged) {
      deliver(memberTable.apply(reply.members(), now, System.currentTimeMillis()), now);
    }
    scheduleQuery(PollBackoff.nextDelay(PollBackoff.CallOutcome.ANSWERED, 0, reply.durationMillis(),
        random.nextDouble(), settings.backoff()));
  }

  /** Passes a change of the table on to the module and the saved list. */
  private void deliver(MemberTable.Change change, long now) {
    if (!fullListSent) {
      fullListSent = true;
      onServerList.accept(toServerList(ListKind.FULL, memberTable.effectiveMembers(), List.of()));
    } else {
      sendChanges(change);
    }
    if (listFile != null) {
      listFile.save(settings.listName(), memberTable.members());
    }
    scheduleRecheck(now);
  }

  private void rejectReply(ConsulClient.Reply reply, ListGuard.Reject reject, long now) {
    logRateLimited("consul-kept", reject.reason().replaceAll("[0-9]", ""),
        "lemondeal: Consul's answer is not believed (" + reject.reason() + "); keeping the current list",
        "why", reject.reason());
    index = reject.nextIndex();
    if (reject.bySize()) {
      boolean empty = reply.members().isEmpty();
      if (!empty) {
        deliver(memberTable.applyPartial(reply.members(), now, System.currentTimeMillis()), now);
      }
      // An empty answer confirms none that lacks most instances, nor the other way round.
      rejectedSince = rejectedSince == 0 || empty != emptyRejected ? now : rejectedSince;
      emptyRejected = empty;
      scheduleConfirmation(settings.guard().confirmAfterMillis(reply.members().size()) - (now - rejectedSince));
    }
    scheduleQuery(reject.bySize()
        ? PollBackoff.nextDelay(PollBackoff.CallOutcome.ANSWERED, 0, reply.durationMillis(), random.nextDouble(),
            settings.backoff())
        : PollBackoff.nextDelay(PollBackoff.CallOutcome.FAILED, failures++, reply.durationMillis(),
            random.nextDouble(), settings.backoff()));
  }

  private void scheduleConfirmation(long millis) {
    Timers.cancel(confirmTimer);
    confirmTimer = timers.after(Math.max(1, millis) * MILLI, this::confirmRejected);
  }

  /**
   * Requests once more, without a wait, an answer that was rejected for its size; it is accepted if it still shows the
   * loss.
   */
  private void confirmRejected() {
    confirmTimer = null;
    if (rejectedSince > 0 && watching) {
      cancelCalls();
      index = 0;
      query();
    }
  }

  private void onFailure(ConsulClient.Reply reply) {
    PollBackoff.CallOutcome outcome = reply.status() == 429 ? PollBackoff.CallOutcome.TOO_OFTEN
        : PollBackoff.CallOutcome.FAILED;
    InetSocketAddress failedAgent = settings.agents().get(agentIndex);
    // Another agent may answer where this one fails; one that reports too many requests is queried less often instead.
    if (outcome == PollBackoff.CallOutcome.FAILED) {
      agentIndex = (agentIndex + 1) % settings.agents().size();
    }
    logRateLimited("consul-failed", Addresses.format(failedAgent) + " " + reply.status(),
        "lemondeal: Consul at " + Addresses.format(failedAgent) + " did not answer: " + reply.error()
            + "; keeping the current list", "agent", Addresses.format(failedAgent), "why", reply.error());
    failures++;
    boolean allAgentsFailed = failures % settings.agents().size() == 0;
    scheduleQuery(outcome == PollBackoff.CallOutcome.FAILED && !allAgentsFailed ? settings.backoff().minInterval()
        : PollBackoff.nextDelay(outcome, (failures - 1) / settings.agents().size(), reply.durationMillis(),
            random.nextDouble(), settings.backoff()));
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

  private void sendChanges(MemberTable.Change change) {
    if (!change.isEmpty()) {
      onServerList.accept(toServerList(ListKind.CHANGES, change.changed(), change.removed()));
    }
  }

  private ServerList toServerList(ListKind kind, List<MemberTable.EffectiveMember> effectiveMembers,
      List<String> removed) {
    List<ServerEntry> entries = new ArrayList<>(effectiveMembers.size() + removed.size());
    Map<String, InetSocketAddress> addresses = new HashMap<>(effectiveMembers.size() * 2);
    for (MemberTable.EffectiveMember effective : effectiveMembers) {
      Member member = effective.member();
      entries.add(new ServerEntry(member.id(), group.zoneIndex(member.zone()), member.cell(),
          group.modelIndex(member.model()), effective.startedAt() * MILLI,
          effective.serves() ? ServerState.READY : ServerState.DRAINING, effective.weight()));
      addresses.put(member.id(), member.address());
    }
    for (String id : removed) {
      entries.add(new ServerEntry(id, 0, 0, 0, 0, ServerState.GONE, 1));
    }
    return group.applySourceUpdate(++version, kind, entries, addresses, pool);
  }

  /** A drained instance that stays healthy serves again after its quiet period, although Consul reports nothing new. */
  private void scheduleRecheck(long now) {
    Timers.cancel(recheckTimer);
    recheckTimer = memberTable.nextRecheckAt() == Long.MAX_VALUE ? null
        : timers.after(Math.max(1, memberTable.nextRecheckAt() - now) * MILLI, this::recheck);
  }

  private void recheck() {
    long now = now();
    sendChanges(memberTable.recheck(now));
    scheduleRecheck(now);
  }

  /** Logs an event, rate-limited for each kind; {@code kind} distinguishes kinds of one event. */
  private void logRateLimited(String event, String kind, String line, Object... fields) {
    long now = now();
    Long last = lastLoggedAt.get(event + " " + kind);
    if (last == null || now - last >= LOG_INTERVAL_MILLIS) {
      lastLoggedAt.put(event + " " + kind, now);
      log.warn(event, line, fields);
    }
  }

  /**
   * Cancels the calls and timers, stops the threads, and saves what is still to be saved. Called at shutdown, on any
   * thread.
   */
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
