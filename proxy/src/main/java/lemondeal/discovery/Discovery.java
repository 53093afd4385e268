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
 * Asks the platform's discovery. Where lists are asked for, on the module's word: when to ask again after a failure is
 * the module's to say. Where they are pushed the module asks for none, and what the agent has counts as told from the
 * first moment: a watch is kept open from the start on, and the list from before the start is told only if none comes.
 */
public final class Discovery implements ListSource {
  private static final String LIST_PATH = "/api/targets";
  /** What the rules on sockets add to each time limit, in microseconds. */
  private static final long RULE_SLACK_MICROS = 50_000;
  /** Microseconds between two lines in the log on answers that can't be read. */
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
  /** The configuration's list in discovery's form, until it is taken in. */
  private Map<String, Object> configuredList;
  private Call watch;
  private boolean watchRequested;
  /** Whether the watch is kept open without the module's word. */
  private boolean permanentWatch;
  /** The list from before the start, while it is held back from the module; null otherwise. */
  private ServerList withheldSavedList;
  /** A watch that the clock or a new address asked for, before the module did. */
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

  /** The list in the configuration; none yet where the agent is asked first. */
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

  /** The list from before the start must do: the agent can't be had, or has told none in good time. */
  private void releaseWithheldList() {
    if (withheldSavedList != null) {
      ServerList savedList = withheldSavedList;
      withheldSavedList = null;
      onServerList.accept(savedList);
    }
  }

  /** Asks discovery where the configuration now says it is. */
  @Override
  public void reconfigure(Config newConfig) {
    changeAddress(newConfig.discovery());
  }

  /**
   * From now on discovery is asked at this address: for a watch at once if the module wants one, and again for
   * each list that is still out. Guards against the old address being told as a failure: the module would then
   * wait before it asks again, and miss what the new address has to say in the meantime.
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

  /** Asks when the clock says so, if the module has not by then. */
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

  private Call startCall(boolean isWatch) {
    String path = isWatch ? LIST_PATH + "?stream=1&index=" + group.generation() : LIST_PATH;
    Call call = new Call(timers, limits, isWatch ? clock : newClock(), path, isWatch, group.generation(), this::onList,
        isWatch ? this::onWatchFailed : this::reportFailure, this::onUnreadable);
    call.start(net, address);
    return call;
  }

  /** A list that can't be read fails its call alone: what is held stays, and the next watch begins with all missed. */
  private long onList(Map<String, Object> list, long baseVersion) throws ProtocolException {
    ServerList update = group.update(list, baseVersion);
    if (update == null) {
      return baseVersion;
    }
    ServerList savedList = withheldSavedList;
    withheldSavedList = null;
    onServerList.accept(savedList != null && update.kind() == ListKind.CHANGES ? HostGroup.merge(savedList, update) : update);
    return group.generation();
  }

  /** Told seldom: calls that fail follow each other closely. */
  private void onUnreadable(String reason) {
    long now = timers.now();
    if (now - lastUnreadableLogAt >= UNREADABLE_LOG_INTERVAL) {
      lastUnreadableLogAt = now;
      net.warn("an answer of discovery at " + address + " can't be read: " + reason + "; the list held stays");
    }
  }

  private void reportFailure() {
    onServerList.accept(new ServerList(group.generation(), ListKind.FAILED, List.of()));
  }
}
