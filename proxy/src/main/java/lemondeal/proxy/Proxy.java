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
import lemondeal.admin.AdminEndpoint;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.ListSource;
import lemondeal.log.EventLog;
import lemondeal.log.PlainLog;
import lemondeal.net.EvictingSet;
import lemondeal.net.TaskGuard;
import lemondeal.net.Link;
import lemondeal.net.Listener;
import lemondeal.net.Net;
import lemondeal.net.Timers;
import lemondeal.resume.SessionContinuity;
import lemondeal.resume.ResumptionContext;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** One proxy on real sockets: creates and connects its components. */
public final class Proxy implements AdminEndpoint.ProcessStatus, AutoCloseable {
  private final Config config;
  private final Net net;
  private final TimerWheel wheel;
  private final StartTimes startTimes;
  private final ViolationCounter violations;
  private final RequestTrace trace;
  private final Generations generations;
  private final ActiveRequests requests;
  private final RequestIds requestIds = new RequestIds();
  private final AdmissionControl admission;
  private final EvictingSet<PendingLink> pendingLinks;
  private final EventLog log;
  private final ResumptionContext resumption;
  private Listener clientListener;
  private Listener adminListener;
  /** Null unless other processes may accept from the clients' listening socket. */
  private RequestIdLocks requestIdLocks;
  private boolean accepting;
  private boolean stopping;
  /** Null until a stop is ordered; a further order uses the same one. */
  private GracefulShutdown shutdown;
  private XnioIoThread.Key nextAdvance;
  /** Adds the metrics of other components; null if there are none. */
  private Consumer<Map<String, Long>> extraMetrics;

  /** A proxy without the features of an operator's own file. */
  public Proxy(Config config, Balancer module, PrintStream log) throws IOException {
    this(config, module, new PlainLog(log), null);
  }

  /** {@code resumption} is null if clients can't resume. */
  public Proxy(Config config, Balancer module, EventLog log, ResumptionContext resumption) throws IOException {
    this(config, module, log, resumption, ListSource.PLATFORM);
  }

  /** The same, with the server list from a source made by {@code sourceFactory}. */
  public Proxy(Config config, Balancer module, EventLog log, ResumptionContext resumption,
      ListSource.Factory sourceFactory) throws IOException {
    this(config, module, log, resumption, sourceFactory, new Clock());
  }

  /** The same, with this clock. */
  Proxy(Config config, Balancer module, EventLog log, ResumptionContext resumption, ListSource.Factory sourceFactory,
      Clock clock) throws IOException {
    this.resumption = resumption;
    this.config = config.withoutKnownServers();
    this.log = log;
    Limits limits = config.limits();
    TaskGuard taskGuard = new TaskGuard(log);
    net = new Net(limits, taskGuard);
    wheel = new TimerWheel(clock::now, limits.timerTick(), limits.wheelSlots(), taskGuard, this::scheduleAdvance);
    net.setTimers(wheel);
    startTimes = new StartTimes(clock::now, clock::wallTime);
    violations = new ViolationCounter(log);
    trace = new RequestTrace(log, config.name(), System::currentTimeMillis);
    requests = new ActiveRequests(limits.maxClients());
    admission = new AdmissionControl(requests, requestIds);
    pendingLinks = new EvictingSet<>(() -> limits.maxPending(requests.freeSlots()), PendingLink::evict);
    generations = new Generations(new Generation.SharedServices(net, wheel, requests, sourceFactory, log, config.name(),
        startTimes, violations, trace,
        resumption == null ? SessionContinuity.NonResumable::new : resumption::continuityOf), config, module,
        this::listReceived);
  }

  /** Starts on the I/O thread; returns once this proxy listens on its addresses, or throws the failure. */
  public void start() throws IOException {
    start(config.inheritedSocket() ? Listener.inherited() : Listener.bind(config.listen()));
  }

  /** Starts with this listening socket for clients. */
  void start(ServerSocketChannel socket) throws IOException {
    net.runAndWait(() -> {
      Limits limits = config.limits();
      clientListener = net.listen(socket, limits.maxAccepted(), this::clientAccepted);
      if (config.inheritedSocket()) {
        shareRequestIds();
      }
      if (config.admin() != null) {
        AdminEndpoint admin = new AdminEndpoint(limits, this);
        adminListener = net.listen(Listener.bind(config.admin()), limits.maxAdminConnections() + 1, admin::accepted);
        adminListener.resume();
      }
      generations.start();
      if (!config.inheritedSocket()) {
        clientListener.resume();
      }
      wheel.after(limits.firstListTimeout(), this::startAccepting);
      return null;
    });
  }

  /** Without the shared ids clients are served all the same, since a client normally uses an id of its own. */
  private void shareRequestIds() {
    try {
      requestIdLocks = RequestIdLocks.open(config.temporaryFolder(), clientListener.address(), log);
      requestIds.shareBy(requestIdLocks);
    } catch (IOException e) {
      log.warn("request-ids-not-shared",
          "lemondeal: the ids of open requests are not shared with other processes on this socket: " + e);
    }
  }

  public InetSocketAddress localAddress() {
    return clientListener.address();
  }

  /** The address of the second listener, or null if there is none. */
  public InetSocketAddress adminAddress() {
    return adminListener == null ? null : adminListener.address();
  }

  private void listReceived() {
    if (generations.newest().serverSummary().listReceived()) {
      startAccepting();
    }
  }

  /**
   * Begins to accept once this process can serve: the module has a list from discovery, or discovery has delivered none
   * in time and the list from before the start is used. Only then does it accept from a socket that another process may
   * be accepting from.
   */
  private void startAccepting() {
    if (!accepting && !stopping && generations.newest().serverSummary().known() > 0) {
      accepting = true;
      clientListener.resume();
      log.info("ready", "lemondeal: ready");
    }
  }

  private void clientAccepted(Link link) {
    new PendingLink(generations.newest().context(), admission, pendingLinks, link).start();
  }

  /** Runs tasks on the I/O thread, for callers on other threads; may be used on any thread. */
  public Executor executor() {
    return net::execute;
  }

  /** Timers on the I/O thread; for use on that thread only. */
  public Timers timers() {
    return wheel;
  }

  /** Wakes the module, for layers between it and this proxy; on the I/O thread only. */
  public void wake(long token) {
    generations.newest().dispatch(new Wake(token));
  }

  /** From now on the log shows what happens to each request. */
  public void traceRequests() {
    net.execute(trace::enable);
  }

  /** Adds these metrics to those shown on the second address. */
  public void addMetrics(Consumer<Map<String, Long>> source) {
    net.execute(() -> extraMetrics = source);
  }

  /**
   * From now on reloaded settings take effect at once, each version with a module from this factory; without it they
   * take effect at the next start. May be called on any thread.
   */
  public void setModuleFactory(Supplier<Balancer> moduleFactory) {
    net.execute(() -> generations.setModuleFactory(moduleFactory));
  }

  /**
   * Takes over a configuration that was reloaded and validated; may be called on any thread, also during a shutdown,
   * when nothing new is served any more and only discovery's address changes.
   */
  public void reconfigure(Config fresh) {
    net.execute(() -> {
      if (stopping) {
        generations.reconfigureDiscovery(fresh);
      } else {
        generations.reconfigure(fresh);
      }
    });
  }

  /** Shuts down gracefully; returns when that is done or the time limit has passed. */
  public void stop() throws InterruptedException {
    BlockingQueue<GracefulShutdown> started = new ArrayBlockingQueue<>(1);
    net.execute(() -> {
      stopping = true;
      // The time limits are those of the newest settings.
      Limits limits = generations.newest().config().limits();
      shutdown = shutdown != null ? shutdown : new GracefulShutdown(limits, wheel, admission, requests,
          () -> !pendingLinks.isEmpty(), () -> pendingLinks.closeAll(PendingLink::endNow));
      started.add(shutdown);
      if (config.inheritedSocket()) {
        shutdown.handOver(clientListener);
      } else {
        shutdown.begin(clientListener);
      }
    });
    started.take().await();
  }

  /** Ends the I/O thread immediately. */
  @Override
  public void close() {
    net.shutdown();
    IoUtils.safeClose(requestIdLocks);
  }

  /** The same; returns when the thread has ended, or after this time. */
  public void awaitClose(long millis) throws InterruptedException {
    net.shutdown();
    net.awaitShutdown(millis);
    IoUtils.safeClose(requestIdLocks);
  }

  // ---- Second address ------------------------------------------------------------------------

  /** The number of servers whose start times are held, for a test that none is held forever. */
  int startTimesHeld() {
    return startTimes.size();
  }

  @Override
  public boolean isReady() {
    return accepting && !stopping;
  }

  @Override
  public Map<String, Long> metrics() {
    Map<String, Long> result = new LinkedHashMap<>();
    generations.newest().counters().addTo(result);
    ServerSummary summary = generations.newest().serverSummary();
    result.put("in_flight", (long) requests.size());
    result.put("servers_known", (long) summary.known());
    result.put("servers_excluded", (long) summary.avoided());
    result.put("list_expired", generations.isAnyListExpired() ? 1L : 0L);
    violations.addTo(result);
    trace.addTo(result);
    if (resumption != null) {
      resumption.addTo(result);
    }
    if (extraMetrics != null) {
      extraMetrics.accept(result);
    }
    return result;
  }

  // ---- Time ----------------------------------------------------------------------------------

  private void scheduleAdvance() {
    if (nextAdvance != null) {
      nextAdvance.remove();
    }
    long delay = wheel.untilNext();
    nextAdvance = delay == Long.MAX_VALUE ? null : net.executeAfter(delay, this::advance);
  }

  private void advance() {
    nextAdvance = null;
    try {
      startTimes.sample();
      wheel.advance();
    } finally {
      // Also after a failure: without the next call no timer would ever run.
      scheduleAdvance();
    }
  }
}
