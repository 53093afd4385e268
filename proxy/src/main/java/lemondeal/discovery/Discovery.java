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
  private static final String LIST = "/api/targets";
  /** What the rules on sockets add to each time limit, in microseconds. */
  private static final long SLACK = 50_000;
  /** Microseconds between two lines in the log on answers that can't be read. */
  private static final long UNREADABLE_EVERY = 10_000_000;

  private final Net net;
  private final Timers timers;
  private final Limits limits;
  private final HostGroup group;
  private final Consumer<ServerList> told;
  private final Settings settings;
  private final List<Call> fetches = new ArrayList<>();
  private final SplittableRandom random;
  private final ListClock clock;
  private InetSocketAddress address;
  /** The configuration's list in discovery's form, until it is taken in. */
  private Map<String, Object> known;
  private Call watch;
  private boolean wanted;
  /** Whether the watch is kept open without the module's word. */
  private boolean kept;
  /** The list from before the start, while it is held back from the module; null otherwise. */
  private ServerList heldBack;
  /** A watch that the clock or a new address asked for, before the module did. */
  private boolean unasked;
  private Timers.Timer again;
  private long unreadableTold = -UNREADABLE_EVERY;

  public Discovery(Net net, Timers timers, Limits limits, Config config, HostGroup group,
      Consumer<ServerList> told) {
    this.net = net;
    this.timers = timers;
    this.limits = limits;
    settings = config.settings();
    known = config.known();
    address = config.discovery();
    this.group = group;
    this.told = told;
    random = new SplittableRandom(config.seed());
    clock = clock();
  }

  private ListClock clock() {
    return new ListClock(new ListClock.Settings(!settings.mustSubscribe(), settings.rules().listPollInterval(),
        settings.rules().drainGrace(), SLACK, 0), timers.now());
  }

  /** The list in the configuration; none yet where the agent is asked first. */
  @Override
  public List<ServerList> saved() throws ProtocolException {
    ServerList listed = group.saved(known);
    known = Map.of();
    if (settings.mustSubscribe() || wanted) {
      return List.of(listed);
    }
    heldBack = listed;
    kept = true;
    wanted = true;
    timers.after(limits.listWithin(), this::release);
    open();
    return List.of();
  }

  /** The list from before the start must do: the agent can't be had, or has told none in good time. */
  private void release() {
    if (heldBack != null) {
      ServerList known = heldBack;
      heldBack = null;
      told.accept(known);
    }
  }

  /** Asks discovery where the configuration now says it is. */
  @Override
  public void reconfigure(Config fresh) {
    moveTo(fresh.discovery());
  }

  /**
   * From now on discovery is asked at this address: for a watch at once if the module wants one, and again for
   * each list that is still out. Guards against the old address being told as a failure: the module would then
   * wait before it asks again, and miss what the new address has to say in the meantime.
   */
  public void moveTo(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    clock.reconfigured(timers.now());
    List<Call> out = List.copyOf(fetches);
    fetches.clear();
    for (Call fetch : out) {
      if (!fetch.isOver()) {
        fetch.stop();
        fetch();
      }
    }
    if (wanted) {
      unasked = true;
      open();
    }
  }

  @Override
  public void watch(boolean on) {
    wanted = on;
    if (!on) {
      end();
    } else if (!unasked || watch.isOver()) {
      open();
    }
    unasked = false;
  }

  @Override
  public void watchAhead() {
    wanted = true;
    unasked = true;
    open();
  }

  private void open() {
    end();
    watch = call(true);
  }

  private void end() {
    Timers.cancel(again);
    if (watch != null) {
      watch.stop();
    }
  }

  private void watchFailed() {
    release();
    askInTime();
    if (!kept) {
      failed();
    }
  }

  /** Asks when the clock says so, if the module has not by then. */
  private void askInTime() {
    long now = timers.now();
    Timers.cancel(again);
    again = timers.after(clock.askAt(now, random.nextDouble()) - now, () -> {
      unasked = true;
      open();
    });
  }

  @Override
  public void fetch() {
    fetches.removeIf(Call::isOver);
    fetches.add(call(false));
  }

  private Call call(boolean isWatch) {
    String path = isWatch ? LIST + "?stream=1&index=" + group.generation() : LIST;
    Call call = new Call(timers, limits, isWatch ? clock : clock(), path, isWatch, group.generation(), this::listed,
        isWatch ? this::watchFailed : this::failed, this::unreadable);
    call.start(net, address);
    return call;
  }

  /** A list that can't be read fails its call alone: what is held stays, and the next watch begins with all missed. */
  private long listed(Map<String, Object> list, long since) throws ProtocolException {
    ServerList news = group.update(list, since);
    if (news == null) {
      return since;
    }
    ServerList known = heldBack;
    heldBack = null;
    told.accept(known != null && news.kind() == ListKind.CHANGES ? HostGroup.over(known, news) : news);
    return group.generation();
  }

  /** Told seldom: calls that fail follow each other closely. */
  private void unreadable(String why) {
    long now = timers.now();
    if (now - unreadableTold >= UNREADABLE_EVERY) {
      unreadableTold = now;
      net.warn("an answer of discovery at " + address + " can't be read: " + why + "; the list held stays");
    }
  }

  private void failed() {
    told.accept(new ServerList(group.generation(), ListKind.FAILED, List.of()));
  }
}
