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
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Standing;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import lemondeal.admin.Admin;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.HostGroup;
import lemondeal.discovery.ListSource;
import lemondeal.figures.Figures;
import lemondeal.log.EventLog;
import lemondeal.log.PlainLog;
import lemondeal.net.EvictingSet;
import lemondeal.net.Faults;
import lemondeal.net.Link;
import lemondeal.net.Listener;
import lemondeal.net.Net;
import lemondeal.net.Timers;
import lemondeal.resume.Continuity;
import lemondeal.resume.Resumption;
import org.xnio.XnioIoThread;

/** One real proxy: puts the parts together and carries out what the module decides. */
public final class Proxy implements Admin.Subject, AutoCloseable {
  private final Config config;
  private final Balancer module;
  private final Limits limits;
  private final Net net;
  private final TimerWheel wheel;
  private final HostGroup group;
  private final Decisions decisions;
  private final ListSource discovery;
  private final Context context;
  private final Requests requests;
  private final AdmissionControl admission;
  private final EvictingSet<PendingLink> pending;
  private final EventLog log;
  private final Map<String, Prober> probers = new HashMap<>();
  private final Figures figures;
  private final Stop stop;
  private final Resumption resumption;
  private Listener clients;
  private Listener secondAddress;
  private boolean accepting;
  private boolean stopping;
  private XnioIoThread.Key nextAdvance;
  /** Null where nothing else is counted. */
  private Consumer<Map<String, Long>> more;

  /** A proxy without anything of an operator's own. */
  public Proxy(Config config, Balancer module, PrintStream log) throws IOException {
    this(config, module, new PlainLog(log), null);
  }

  /** {@code resumption} is null where no client can resume. */
  public Proxy(Config config, Balancer module, EventLog log, Resumption resumption) throws IOException {
    this(config, module, log, resumption, ListSource.PLATFORM);
  }

  /** The same, with servers listed by {@code sources}. */
  public Proxy(Config config, Balancer module, EventLog log, Resumption resumption, ListSource.Maker sources)
      throws IOException {
    this(config, module, log, resumption, sources, new Clock());
  }

  /** The same, by this clock. */
  Proxy(Config config, Balancer module, EventLog log, Resumption resumption, ListSource.Maker sources, Clock clock)
      throws IOException {
    this.resumption = resumption;
    this.config = config;
    this.module = module;
    this.log = log;
    limits = config.limits();
    Faults faults = new Faults(log);
    net = new Net(limits, faults);
    wheel = new TimerWheel(clock::now, limits.tick(), limits.wheelSlots(), faults, this::scheduleAdvance);
    net.use(wheel);
    group = new HostGroup(config.names());
    decisions = new Decisions(module, clock::now, this::act);
    discovery = sources.make(net, wheel, limits, config, group, this::listed);
    DelayMeter delays = new DelayMeter(config.settings(), limits, decisions::tell);
    figures = new Figures(config.names().classes());
    context = new Context(config, net, wheel, group, decisions, delays, figures, new FinalAnswer(figures),
        resumption == null ? Continuity.Plain::new : resumption::of);
    requests = new Requests(limits.clients());
    admission = new AdmissionControl(requests);
    pending = new EvictingSet<>(() -> limits.pending(requests.left()), PendingLink::makeRoom);
    stop = new Stop(limits, wheel, admission, requests, () -> !pending.isEmpty());
  }

  /** Starts on the I/O thread; returns when the addresses are listened on, or throws what went wrong. */
  public void start() throws IOException {
    start(config.inherited() ? Listener.inherited() : Listener.bind(config.listen()));
  }

  /** Starts with this listening socket for clients. */
  void start(ServerSocketChannel socket) throws IOException {
    net.run(() -> {
      clients = net.listen(socket, limits.accepted(), this::accepted);
      if (config.admin() != null) {
        Admin admin = new Admin(limits, this);
        secondAddress = net.listen(Listener.bind(config.admin()), limits.adminCallers() + 1, admin::accepted);
        secondAddress.resume();
      }
      decisions.tell(new Start(config.seed(), config.settings()));
      discovery.saved().forEach(decisions::tell);
      if (!config.inherited()) {
        clients.resume();
      }
      wheel.after(limits.listWithin(), this::serve);
      return null;
    });
  }

  public InetSocketAddress localAddress() {
    return clients.address();
  }

  /** The second address, or null if there is none. */
  public InetSocketAddress adminAddress() {
    return secondAddress == null ? null : secondAddress.address();
  }

  private void listed(ServerList list) {
    decisions.tell(list);
    if (module.standing(wheel.now()).listed()) {
      serve();
    }
  }

  /**
   * From now on this process can serve: the module has a list that discovery told, or discovery has told none in
   * good time and the list from before the start must do. Only then does it accept from a socket that another
   * process may be accepting from.
   */
  private void serve() {
    if (!accepting && !stopping && module.standing(wheel.now()).known() > 0) {
      accepting = true;
      clients.resume();
      log.info("ready", "lemondeal: ready");
    }
  }

  private void accepted(Link link) {
    new PendingLink(context, admission, pending, link).start();
  }

  /** Runs tasks on the I/O thread, for what comes from threads of others; from any thread. */
  public Executor executor() {
    return net::later;
  }

  /** Deadlines on the I/O thread; for use there alone. */
  public Timers timers() {
    return wheel;
  }

  /** Wakes the module, for what stands between it and this proxy; on the I/O thread alone. */
  public void wake(long token) {
    decisions.tell(new Wake(token));
  }

  /** Has these figures told on the second address, too. */
  public void count(Consumer<Map<String, Long>> figuresOfMore) {
    net.later(() -> more = figuresOfMore);
  }

  /** Takes over a configuration read anew and checked; may be called on any thread, also during a stop. */
  public void reconfigure(Config fresh) {
    net.later(() -> discovery.reconfigure(fresh));
  }

  /** Stops politely; returns when all is done or the time is up. */
  public void stop() throws InterruptedException {
    net.later(() -> {
      stopping = true;
      if (config.inherited()) {
        stop.handOver(clients);
      } else {
        stop.begin(clients);
      }
    });
    stop.await();
  }

  /** Ends the I/O thread at once. */
  @Override
  public void close() {
    net.shutdown();
  }

  // ---- What the operators' staff ask ----------------------------------------------------------

  @Override
  public boolean isReady() {
    return accepting && !stopping;
  }

  @Override
  public Map<String, Long> figures() {
    Map<String, Long> all = new LinkedHashMap<>();
    figures.addTo(all);
    Standing standing = module.standing(wheel.now());
    all.put("in_flight", (long) requests.size());
    all.put("servers_known", (long) standing.known());
    all.put("servers_excluded", (long) standing.avoided());
    if (resumption != null) {
      resumption.addTo(all);
    }
    if (more != null) {
      more.accept(all);
    }
    return all;
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
      log.info("module", config.name() + " " + a.text());
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
