package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.ServerSummary;
import lemondeal.Balancer.Wake;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lemondeal.admin.Admin;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.ListSource;
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
  private final Net net;
  private final TimerWheel wheel;
  private final StartTimes starts;
  private final RuleGuard guard;
  private final RequestTrace trace;
  private final Generations generations;
  private final Requests requests;
  private final AdmissionControl admission;
  private final EvictingSet<PendingLink> pending;
  private final EventLog log;
  private final Resumption resumption;
  private Listener clients;
  private Listener secondAddress;
  private boolean accepting;
  private boolean stopping;
  /** Null until the order has come; another order finds the same. */
  private Stop stop;
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
    this.config = config.withoutKnown();
    this.log = log;
    Limits limits = config.limits();
    Faults faults = new Faults(log);
    net = new Net(limits, faults);
    wheel = new TimerWheel(clock::now, limits.tick(), limits.wheelSlots(), faults, this::scheduleAdvance);
    net.use(wheel);
    starts = new StartTimes(clock::now, clock::wall);
    guard = new RuleGuard(log);
    trace = new RequestTrace(log, config.name(), System::currentTimeMillis);
    requests = new Requests(limits.clients());
    admission = new AdmissionControl(requests);
    pending = new EvictingSet<>(() -> limits.pending(requests.left()), PendingLink::makeRoom);
    generations = new Generations(new Generation.Means(net, wheel, requests, sources, log, config.name(), starts, guard, trace,
        resumption == null ? Continuity.Plain::new : resumption::of), config, module, this::listed);
  }

  /** Starts on the I/O thread; returns when the addresses are listened on, or throws what went wrong. */
  public void start() throws IOException {
    start(config.inherited() ? Listener.inherited() : Listener.bind(config.listen()));
  }

  /** Starts with this listening socket for clients. */
  void start(ServerSocketChannel socket) throws IOException {
    net.run(() -> {
      Limits limits = config.limits();
      clients = net.listen(socket, limits.accepted(), this::accepted);
      if (config.admin() != null) {
        Admin admin = new Admin(limits, this);
        secondAddress = net.listen(Listener.bind(config.admin()), limits.adminCallers() + 1, admin::accepted);
        secondAddress.resume();
      }
      generations.start();
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

  private void listed() {
    if (generations.newest().standing().listReceived()) {
      serve();
    }
  }

  /**
   * From now on this process can serve: the module has a list that discovery told, or discovery has told none in
   * good time and the list from before the start must do. Only then does it accept from a socket that another
   * process may be accepting from.
   */
  private void serve() {
    if (!accepting && !stopping && generations.newest().standing().known() > 0) {
      accepting = true;
      clients.resume();
      log.info("ready", "lemondeal: ready");
    }
  }

  private void accepted(Link link) {
    new PendingLink(generations.newest().context(), admission, pending, link).start();
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
    generations.newest().tell(new Wake(token));
  }

  /** From now on what becomes of each request is told in the log. */
  public void traceRequests() {
    net.later(trace::switchOn);
  }

  /** Has these figures told on the second address, too. */
  public void count(Consumer<Map<String, Long>> figuresOfMore) {
    net.later(() -> more = figuresOfMore);
  }

  /**
   * From now on settings read anew are taken over, each with a module made by this; without it they count from the next
   * start. May be called on any thread.
   */
  public void renewBy(Supplier<Balancer> modules) {
    net.later(() -> generations.renewBy(modules));
  }

  /**
   * Takes over a configuration read anew and checked; may be called on any thread, also during a stop, when nothing new
   * is served any more and discovery alone moves.
   */
  public void reconfigure(Config fresh) {
    net.later(() -> {
      if (stopping) {
        generations.moveDiscovery(fresh);
      } else {
        generations.reconfigure(fresh);
      }
    });
  }

  /** Stops politely; returns when all is done or the time is up. */
  public void stop() throws InterruptedException {
    BlockingQueue<Stop> begun = new ArrayBlockingQueue<>(1);
    net.later(() -> {
      stopping = true;
      // How long it may take is for the settings to say that are in force by now.
      Limits limits = generations.newest().config().limits();
      stop = stop != null ? stop : new Stop(limits, wheel, admission, requests, () -> !pending.isEmpty(),
          () -> pending.clear(PendingLink::endNow));
      begun.add(stop);
      if (config.inherited()) {
        stop.handOver(clients);
      } else {
        stop.begin(clients);
      }
    });
    begun.take().await();
  }

  /** Ends the I/O thread at once. */
  @Override
  public void close() {
    net.shutdown();
  }

  /** The same; returns when it has ended, or after so long. */
  public void awaitClose(long millis) throws InterruptedException {
    net.shutdown();
    net.awaitShutdown(millis);
  }

  // ---- What the operators' staff ask ----------------------------------------------------------

  /** Servers whose starts are kept in mind, for a test that none is for good. */
  int startsRemembered() {
    return starts.held();
  }

  @Override
  public boolean isReady() {
    return accepting && !stopping;
  }

  @Override
  public Map<String, Long> figures() {
    Map<String, Long> all = new LinkedHashMap<>();
    generations.newest().figures().addTo(all);
    ServerSummary standing = generations.newest().standing();
    all.put("in_flight", (long) requests.size());
    all.put("servers_known", (long) standing.known());
    all.put("servers_excluded", (long) standing.avoided());
    guard.addTo(all);
    trace.addTo(all);
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
    try {
      starts.sample();
      wheel.advance();
    } finally {
      // Whatever failed: without the next one no deadline would ever come.
      scheduleAdvance();
    }
  }
}
