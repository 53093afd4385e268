package lemondeal.discovery;

import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Settings;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.clock.ListClock;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/**
 * Client of the platform's discovery. In poll mode it calls when the module asks, and the module decides when to retry
 * after a failure. In push mode the module never asks, and whatever the agent holds counts as known from the first
 * moment. So a watch is kept open from the start, and the list from before the start is delivered only if no list
 * arrives from the agent.
 */
public final class Discovery implements ListSource {
  private static final String LIST_PATH = "/api/targets";
  /** What the socket rules add to each time limit, in microseconds. */
  private static final long RULE_SLACK_MICROS = 50_000;
  /** Minimum time between two log lines on unreadable answers, in microseconds. */
  private static final long UNREADABLE_LOG_INTERVAL = 10_000_000;

  private final Net net;
  private final Timers timers;
  private final Limits limits;
  private final HostGroup group;
  private final Consumer<ServerList> onServerList;
  private final Settings settings;
  private final List<Call> pendingFetches = new ArrayList<>();
  private final SplittableRandom random;
  private final ListClock clock;
  private InetSocketAddress address;
  /** The list from the configuration, in discovery's format, until it is applied. */
  private Map<String, Object> configuredList;
  private Call watch;
  private boolean watchRequested;
  /** Whether the watch is kept open without a request from the module. */
  private boolean permanentWatch;
  /** The list from before the start while it is withheld from the module; null otherwise. */
  private ServerList withheldSavedList;
  /** Whether the clock or an address change opened the watch before the module requested it. */
  private boolean openedUnrequested;
  private Timers.Timer reopenTimer;
  private long lastUnreadableLogAt = -UNREADABLE_LOG_INTERVAL;

  public Discovery(Net net, Timers timers, Limits limits, Config config, HostGroup group,
      Consumer<ServerList> onServerList) {
    this.net = net;
    this.timers = timers;
    this.limits = limits;
    settings = config.settings();
    configuredList = config.knownServers();
    address = config.discovery();
    this.group = group;
    this.onServerList = onServerList;
    random = new SplittableRandom(config.seed());
    clock = newClock();
  }

  private ListClock newClock() {
    return new ListClock(new ListClock.Settings(!settings.mustSubscribe(), settings.rules().listPollInterval(),
        settings.rules().drainGrace(), RULE_SLACK_MICROS, 0), timers.now());
  }

  /** The list from the configuration; empty in push mode, where the agent is asked first. */
  @Override
  public List<ServerList> savedLists() throws ProtocolException {
    ServerList savedList = group.applySaved(configuredList);
    configuredList = Map.of();
    if (settings.mustSubscribe() || watchRequested) {
      return List.of(savedList);
    }
    withheldSavedList = savedList;
    permanentWatch = true;
    watchRequested = true;
    timers.after(limits.firstListTimeout(), this::releaseWithheldList);
    openWatch();
    return List.of();
  }

  /** Falls back to the list from before the start: the agent is unreachable or has not sent a list in time. */
  private void releaseWithheldList() {
    if (withheldSavedList != null) {
      ServerList savedList = withheldSavedList;
      withheldSavedList = null;
      onServerList.accept(savedList);
    }
  }

  /** Switches to the discovery address of the new configuration. */
  @Override
  public void reconfigure(Config newConfig) {
    changeAddress(newConfig.discovery());
  }

  /**
   * Uses this address for discovery from now on: reopens the watch at once if the module wants one, and repeats every
   * pending fetch. A call to the old address must not be reported as failed: the module would then wait before it
   * retries, and miss what the new address reports in the meantime.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    clock.reconfigured(timers.now());
    List<Call> pending = List.copyOf(pendingFetches);
    pendingFetches.clear();
    for (Call fetch : pending) {
      if (!fetch.isFinished()) {
        fetch.stop();
        fetch();
      }
    }
    if (watchRequested) {
      openedUnrequested = true;
      openWatch();
    }
  }

  @Override
  public void watch(boolean on) {
    watchRequested = on;
    if (!on) {
      closeWatch();
    } else if (!openedUnrequested || watch.isFinished()) {
      openWatch();
    }
    openedUnrequested = false;
  }

  @Override
  public void openWatchEarly() {
    watchRequested = true;
    openedUnrequested = true;
    openWatch();
  }

  private void openWatch() {
    closeWatch();
    watch = startCall(true);
  }

  private void closeWatch() {
    Timers.cancel(reopenTimer);
    if (watch != null) {
      watch.stop();
    }
  }

  private void onWatchFailed() {
    releaseWithheldList();
    scheduleReopen();
    if (!permanentWatch) {
      reportFailure();
    }
  }

  /** Reopens the watch at the time given by the clock, unless the module does so earlier. */
  private void scheduleReopen() {
    long now = timers.now();
    Timers.cancel(reopenTimer);
    reopenTimer = timers.after(clock.nextCallAt(now, random.nextDouble()) - now, () -> {
      openedUnrequested = true;
      openWatch();
    });
  }

  @Override
  public void fetch() {
    pendingFetches.removeIf(Call::isFinished);
    pendingFetches.add(startCall(false));
  }

  @Override
  public ListClock.Validity validity(int pool) {
    return clock.validity(timers.now());
  }

  @Override
  public void continueHeldList() {
    clock.reconfigured(timers.now());
  }

  private Call startCall(boolean isWatch) {
    String path = isWatch ? LIST_PATH + "?stream=1&index=" + group.generation() : LIST_PATH;
    Call call = new Call(timers, limits, isWatch ? clock : newClock(), path, isWatch, group.generation(), this::onList,
        isWatch ? this::onWatchFailed : this::reportFailure, this::onUnreadable);
    call.start(net, address);
    return call;
  }

  /**
   * A list that can't be parsed fails only its own call: the held list stays, and the next watch starts with all
   * changes missed.
   */
  private long onList(Map<String, Object> list, long baseVersion) throws ProtocolException {
    ServerList update = group.update(list, baseVersion);
    if (update == null) {
      return baseVersion;
    }
    ServerList savedList = withheldSavedList;
    withheldSavedList = null;
    onServerList.accept(savedList != null && update.kind() == ListKind.CHANGES ? HostGroup.merge(savedList, update)
        : update);
    return group.generation();
  }

  /** Rate-limited: failing calls can follow each other closely. */
  private void onUnreadable(String reason) {
    long now = timers.now();
    if (now - lastUnreadableLogAt >= UNREADABLE_LOG_INTERVAL) {
      lastUnreadableLogAt = now;
      net.warn("response from discovery at " + address + " can't be read: " + reason + "; keeping the current list");
    }
  }

  private void reportFailure() {
    onServerList.accept(new ServerList(group.generation(), ListKind.FAILED, List.of()));
  }
}
