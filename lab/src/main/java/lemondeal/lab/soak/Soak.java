package lemondeal.lab.soak;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.lab.site.NetworkConditions;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One soak test with one seed: starts the proxies, sends traffic, injects the faults of the plan, waits for the fleet
 * to recover, and stops it. The same seed draws the same plan; the timing on the machine differs from run to run.
 */
public final class Soak {
  /**
   * The size of a soak.
   *
   * @param proxies number of proxy processes, 1 to 40
   * @param servers number of stand-in servers
   * @param faultMillis for how long faults are injected
   */
  public record Size(int proxies, int servers, long faultMillis) {}

  /**
   * The result of a soak.
   *
   * @param served number of requests that were answered with UP
   * @param summary all counters on one line, for a report
   */
  public record Result(long seed, List<Violation> violations, long served, String summary) {}

  /** Time without new faults at the end, enough for delayed list updates and for pauses of servers to end. */
  private static final long SETTLE_MILLIS = 3_000;
  private static final long RECOVERY_CHECK_MILLIS = 2_000;
  private static final double MIN_SERVED_SHARE = 0.8;
  private static final double REQUESTS_PER_SECOND_PER_PROXY = 8;
  private static final long START_TIMEOUT_SECONDS = 30;
  private static final long INSPECT_INTERVAL_MILLIS = 250;
  /** One in this many servers is behind relays, whose network can fail. */
  private static final int RELAYED_ONE_IN = 3;

  private final long seed;
  private final Size size;
  private final Path folder;
  private final PrintStream out;
  private final UniformRandomProvider random;
  private final SoakConfig config;
  private final LagMonitor lagMonitor = new LagMonitor();
  private final RuleChecker checker;
  private final ServerListing listing = new ServerListing();
  private final DrainChecker drainChecker;
  private final List<SoakServer> servers = new ArrayList<>();
  private final List<SoakProxy> proxies = new ArrayList<>();
  private final ConcurrentLinkedQueue<Thread> clientThreads = new ConcurrentLinkedQueue<>();
  private volatile boolean finished;

  private Soak(long seed, Size size, Path folder, PrintStream out) {
    this.seed = seed;
    this.size = size;
    this.folder = folder;
    this.out = out;
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    config = SoakConfig.draw(random, size.proxies);
    checker = new RuleChecker(lagMonitor, config.repeatWindowMillis());
    drainChecker = new DrainChecker(listing, checker, config.drainGraceMillis(), config.pushed());
  }

  /**
   * Runs one soak.
   *
   * @param folder where plan, configurations and logs are written; created if it does not exist
   * @param out receives the soak's progress output
   * @throws IOException if the machine lacks what a soak needs (a C compiler, ports, processes)
   */
  public static Result run(long seed, Size size, Path folder, PrintStream out)
      throws IOException, InterruptedException {
    Files.createDirectories(folder);
    return new Soak(seed, size, folder, out).run();
  }

  private Result run() throws IOException, InterruptedException {
    // Proxy processes must not outlive this one, however it ends.
    Thread shutdownHook = new Thread(() -> proxies.forEach(SoakProxy::close), "kill-proxies");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try {
      prepare();
      startAll();
      startTraffic();
      List<Fault> plan = FaultPlan.draw(random, size.faultMillis, size.proxies, size.servers);
      injectFaults(plan);
      checkRecovery();
      stopAll();
    } finally {
      checker.close();
      finished = true;
      proxies.forEach(SoakProxy::close);
      servers.forEach(SoakServer::close);
      lagMonitor.close();
    }
    Runtime.getRuntime().removeShutdownHook(shutdownHook);
    return new Result(seed, checker.violations(), checker.value(RuleChecker.Counter.SERVED), checker.summary());
  }

  // ---- Start ----

  private void prepare() throws IOException, InterruptedException {
    out.println("seed " + seed + ": " + config);
    Path library = FaultShim.compile(folder);
    for (int i = 0; i < size.servers; i++) {
      ServerIdentity identity = new ServerIdentity("s" + i, SoakConfig.ZONES.get(i % SoakConfig.ZONES.size()), i % 4);
      SoakServer server = new SoakServer(identity, checker, drainChecker,
          i % RELAYED_ONE_IN == 0 ? size.proxies : 0, config.tells());
      servers.add(server);
      listing.put(server, ServerListing.IN_SERVICE, 0);
    }
    for (int i = 0; i < size.proxies; i++) {
      FaultShim shim = FaultShim.create(library, folder.resolve("shim-" + i));
      proxies.add(new SoakProxy(i, config, checker, drainChecker, listing, shim, folder));
    }
  }

  private void startAll() throws IOException {
    for (SoakProxy proxy : proxies) {
      proxy.start();
    }
    long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_TIMEOUT_SECONDS);
    while (!proxies.stream().allMatch(SoakProxy::isInService)) {
      if (System.nanoTime() > giveUpAt) {
        throw new IOException("not all proxies became ready; their logs are in " + folder);
      }
      Threads.sleepMillis(20);
    }
  }

  // ---- Traffic and faults ----

  private void startTraffic() {
    for (SoakProxy proxy : proxies) {
      UniformRandomProvider clientRandom = RandomSource.XO_SHI_RO_256_PP.create(seed * size.proxies + proxy.number());
      Threads.start("traffic", () -> {
        while (!finished) {
          Threads.sleepMillis(
              (long) (-Math.log(1 - clientRandom.nextDouble()) * 1_000 / REQUESTS_PER_SECOND_PER_PROXY));
          startClient(proxy, drawBehavior(clientRandom), clientRandom);
        }
      });
    }
    Threads.start("inspect", () -> {
      while (!finished) {
        proxies.forEach(SoakProxy::inspect);
        Threads.sleepMillis(INSPECT_INTERVAL_MILLIS);
      }
    });
  }

  private static SoakClient.Behavior drawBehavior(UniformRandomProvider clientRandom) {
    SoakClient.Behavior[] behaviors = SoakClient.Behavior.values();
    return clientRandom.nextInt(3) > 0 ? SoakClient.Behavior.STAYS : behaviors[clientRandom.nextInt(behaviors.length)];
  }

  private void startClient(SoakProxy proxy, SoakClient.Behavior behavior, UniformRandomProvider clientRandom) {
    if (proxy.isInService() && !finished) {
      RequestClass[] classes = RequestClass.values();
      SoakClient client = new SoakClient(checker, proxy, classes[clientRandom.nextInt(classes.length)], behavior,
          config, clientRandom);
      clientThreads.add(Threads.start("client", client));
    }
  }

  private void injectFaults(List<Fault> plan) throws IOException {
    UniformRandomProvider clientRandom = RandomSource.XO_SHI_RO_256_PP.create(seed + 1);
    FaultInjector injector = new FaultInjector(config, checker, proxies, servers, listing, (proxy, behavior) -> {
      synchronized (clientRandom) {
        startClient(proxy, behavior, clientRandom);
      }
    });
    long startedAt = System.nanoTime();
    List<Thread> threads = new ArrayList<>();
    try (PrintStream planFile = new PrintStream(folder.resolve("plan.txt").toFile())) {
      for (Fault fault : plan) {
        Threads.sleepNanos(startedAt + TimeUnit.MILLISECONDS.toNanos(fault.startMillis()) - System.nanoTime());
        planFile.println("at " + checker.elapsedMillis() + " ms, " + fault);
        threads.add(Threads.start("trouble", () -> injector.inject(fault)));
      }
    }
    threads.forEach(Soak::join);
    proxies.forEach(proxy -> proxy.shim().clearFaults());
  }

  private static void join(Thread thread) {
    try {
      thread.join(TimeUnit.SECONDS.toMillis(START_TIMEOUT_SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Checks that most requests are served again some time after all faults are over. */
  private void checkRecovery() throws IOException {
    servers.forEach(server -> {
      server.mode(ServerMode.NORMAL);
      server.setNetworkCondition(NetworkConditions.OPEN);
    });
    Threads.sleepMillis(SETTLE_MILLIS);
    long requests = checker.value(RuleChecker.Counter.REQUESTS) - checker.value(RuleChecker.Counter.LEAVERS);
    long served = checker.value(RuleChecker.Counter.SERVED);
    Threads.sleepMillis(RECOVERY_CHECK_MILLIS);
    requests = checker.value(RuleChecker.Counter.REQUESTS) - checker.value(RuleChecker.Counter.LEAVERS) - requests;
    served = checker.value(RuleChecker.Counter.SERVED) - served;
    if (served < MIN_SERVED_SHARE * requests) {
      checker.reportViolation(Rule.NO_RECOVERY,
          served + " of " + requests + " requests were served after all faults were over");
    }
  }

  // ---- End ----

  private void stopAll() {
    List<Thread> stops = new ArrayList<>();
    for (SoakProxy proxy : proxies) {
      stops.add(Threads.start("stop", () -> {
        try {
          proxy.stop();
        } catch (IOException e) {
          checker.reportViolation(Rule.SLOW_STOP, "proxy " + proxy.number() + " could not be stopped: " + e);
        }
      }));
    }
    stops.forEach(Soak::join);
    Threads.sleepMillis(200);
  }
}
