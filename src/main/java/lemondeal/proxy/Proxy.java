package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.CloseIdle;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.Log;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.Discovery;
import lemondeal.discovery.HostGroup;
import lemondeal.net.Crowd;
import lemondeal.net.Faults;
import lemondeal.net.Link;
import lemondeal.net.Net;
import org.xnio.XnioIoThread;

/** One real proxy: puts the parts together and carries out what the module decides. */
public final class Proxy implements AutoCloseable {
  private final Config config;
  private final Limits limits;
  private final Net net;
  private final TimerWheel wheel;
  private final HostGroup group;
  private final Decisions decisions;
  private final Discovery discovery;
  private final Context context;
  private final Requests requests;
  private final Gate gate;
  private final Crowd<Newcomer> newcomers;
  private final PrintStream log;
  private final Map<String, Prober> probers = new HashMap<>();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private XnioIoThread.Key nextAdvance;

  public Proxy(Config config, Balancer module, PrintStream log) throws IOException {
    this.config = config;
    this.log = log;
    limits = config.limits();
    Clock clock = new Clock();
    Faults faults = new Faults(log);
    net = new Net(limits, faults);
    wheel = new TimerWheel(clock::now, limits.tick(), limits.wheelSlots(), faults, this::scheduleAdvance);
    net.use(wheel);
    group = new HostGroup(config.names());
    decisions = new Decisions(module, clock::now, this::act);
    discovery = new Discovery(net, wheel, limits, config.discovery(), group, decisions::tell);
    DelayMeter delays = new DelayMeter(config.settings(), limits, decisions::tell);
    context = new Context(config, net, wheel, group, decisions, delays);
    requests = new Requests(limits.clients());
    gate = new Gate(requests);
    newcomers = new Crowd<>(() -> limits.newcomers() + 2 * requests.left(), Newcomer::makeRoom);
  }

  /** Starts on the I/O thread; returns when clients are accepted, or throws what went wrong. */
  public void start() throws IOException {
    net.run(() -> {
      decisions.tell(new Start(config.seed(), config.settings()));
      decisions.tell(group.saved(config.known()));
      net.listen(config.listen(), this::accepted);
      return null;
    });
  }

  public InetSocketAddress localAddress() {
    return net.localAddress();
  }

  private void accepted(Link link) {
    new Newcomer(context, gate, newcomers, link).start();
  }

  /** Takes over a configuration read anew and checked; may be called on any thread, also during a stop. */
  public void reconfigure(Config fresh) {
    net.later(() -> discovery.moveTo(fresh.discovery()));
  }

  // ---- Stop ----------------------------------------------------------------------------------

  /**
   * Stops politely: throttles what still comes, moves all connections when nothing comes any more, and lets
   * requests that are still owed an answer get theirs. Returns when all is done or the time is up.
   */
  public void stop() throws InterruptedException {
    net.later(() -> {
      gate.close(() -> { });
      wheel.after(limits.drainAccept(), this::acceptNoMore);
      wheel.after(limits.drainMost(), stopped::countDown);
    });
    stopped.await();
  }

  /** Ends the I/O thread at once. */
  @Override
  public void close() {
    net.shutdown();
  }

  /** Clients are served on for a while: other proxies may be on their way back from a stop of their own. */
  private void acceptNoMore() {
    net.stopListening();
    wheel.after(requests.isEmpty() ? 0 : limits.drainHold(), this::moveAll);
  }

  private void moveAll() {
    // What was written last must still arrive before the process ends.
    gate.close(() -> wheel.after(limits.linger(), stopped::countDown));
    ArrayDeque<ClientLink> clients = new ArrayDeque<>(requests.all());
    if (clients.isEmpty()) {
      stopped.countDown();
    }
    moveNext(clients, (int) (clients.size() * limits.drainStep() / limits.drainSpread()) + 1);
  }

  /**
   * Moves a few clients, and the others step by step. Guards the other proxies, their servers and what stands
   * behind set-ups against a crowd: clients that are moved come again within a moment, all of them together.
   */
  private void moveNext(ArrayDeque<ClientLink> clients, int each) {
    for (int i = 0; i < each && !clients.isEmpty(); i++) {
      ClientLink client = clients.poll();
      client.link().guarded(client::move);
    }
    if (!clients.isEmpty()) {
      wheel.after(limits.drainStep(), () -> moveNext(clients, each));
    }
  }

  // ---- Time ----------------------------------------------------------------------------------

  private void scheduleAdvance() {
    if (nextAdvance != null) {
      nextAdvance.remove();
    }
    long pause = wheel.untilNext();
    nextAdvance = pause == Long.MAX_VALUE ? null : net.laterBy(pause, this::advance);
  }

  private void advance() {
    nextAdvance = null;
    wheel.advance();
    scheduleAdvance();
  }

  // ---- Actions -------------------------------------------------------------------------------

  /** A chain of tests rather than a switch: pattern switches are only a preview in Java 17. */
  private void act(Action action) {
    if (action instanceof Send a) {
      with(a.id(), client -> client.execute(a.server(), a.timeout()));
    } else if (action instanceof WakeAfter a) {
      wheel.after(a.delay(), () -> decisions.tell(new Wake(a.token())));
    } else if (action instanceof Move a) {
      with(a.id(), ClientLink::move);
    } else if (action instanceof Refuse a) {
      with(a.id(), client -> client.throttle(a.retryAfter()));
    } else if (action instanceof Fail a) {
      with(a.id(), ClientLink::fail);
    } else if (action instanceof CancelAttempt a) {
      with(a.id(), client -> client.cancel(a.attempt()));
    } else if (action instanceof Probe a) {
      probe(a.server());
    } else if (action instanceof CloseIdle a && probers.get(a.server()) != null) {
      probers.get(a.server()).end(Outcome.CANCELLED);
    } else if (action instanceof Subscribe a) {
      discovery.watch(a.on());
    } else if (action instanceof FetchList) {
      discovery.fetch();
    } else if (action instanceof Log a) {
      log.println(config.name() + " " + a.text());
    }
  }

  /** The module may name a request that has gone in the meantime; its slot may have a new holder. */
  private void with(String id, Consumer<ClientLink> act) {
    ClientLink client = requests.find(id);
    if (client != null) {
      client.link().guarded(() -> act.accept(client));
    }
  }

  private void probe(String server) {
    probers.computeIfAbsent(server, s -> new Prober(context, s, () -> probers.remove(s))).probe();
  }
}
