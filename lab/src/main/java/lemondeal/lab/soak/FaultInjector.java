package lemondeal.lab.soak;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import lemondeal.lab.site.NetworkConditions;

/** Injects the faults of a plan and ends each one when its time is over. Each fault needs a thread of its own. */
final class FaultInjector {
  /** The offsets to which a proxy's wall clock is set; a fault's drawn value selects one. */
  private static final List<Duration> CLOCK_OFFSETS = List.of(Duration.ofSeconds(2), Duration.ofSeconds(-2),
      Duration.ofHours(1), Duration.ofHours(-1));
  private static final List<Errno> ACCEPT_ERRORS = List.of(Errno.ENFILE, Errno.ENOBUFS, Errno.ECONNABORTED);
  private static final List<Errno> CONNECT_ERRORS = List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EAGAIN);
  private static final List<Errno> SOCKET_ERRORS = List.of(Errno.ENFILE, Errno.ENOBUFS);
  private static final int MAX_FAILING_CALLS = 6;
  /** The largest limit on the bytes of one socket read or write. */
  private static final int MAX_SOCKET_BYTES = 32;
  /** STANDING: the system may suspend a proxy for up to this long between reading its clock and writing. */
  private static final long MAX_PAUSE_MILLIS = 150;
  /** More than the descriptor limit of any proxy of a soak. */
  private static final int MAX_IDLE_CONNECTIONS = 600;
  private static final int BURST_CLIENTS = 40;
  private static final long NETWORK_DELAY_MILLIS = 30;
  private static final long NETWORK_JITTER_MILLIS = 60;
  private static final double RESET_SHARE = 0.1;
  private static final int SLOW_NETWORK_BYTES_PER_SECOND = 400;

  private final SoakConfig config;
  private final RuleChecker checker;
  private final List<SoakProxy> proxies;
  private final List<SoakServer> servers;
  private final ServerListing listing;
  private final ClientStarter clientStarter;
  private final Object[] proxyLocks;

  interface ClientStarter {
    void startClient(SoakProxy proxy, SoakClient.Behavior behavior);
  }

  FaultInjector(SoakConfig config, RuleChecker checker, List<SoakProxy> proxies, List<SoakServer> servers,
      ServerListing listing, ClientStarter clientStarter) {
    this.config = config;
    this.checker = checker;
    this.proxies = proxies;
    this.servers = servers;
    this.listing = listing;
    this.clientStarter = clientStarter;
    proxyLocks = new Object[proxies.size()];
    for (int i = 0; i < proxyLocks.length; i++) {
      proxyLocks[i] = new Object();
    }
  }

  /** Injects the fault and returns when it is over. */
  void inject(Fault fault) {
    checker.increment(RuleChecker.Counter.FAULTS);
    try {
      if (fault.kind().name().startsWith("SERVER_")) {
        injectAtServer(fault, servers.get(fault.target()));
      } else {
        injectAtProxy(fault, proxies.get(fault.target()));
      }
    } catch (IOException e) {
      throw new IllegalStateException("cannot inject the fault " + fault, e);
    }
  }

  // ---- Servers ----

  private void injectAtServer(Fault fault, SoakServer server) throws IOException {
    synchronized (server) {
      switch (fault.kind()) {
        case SERVER_HANGS -> applyServerMode(fault, server, ServerMode.HANGS);
        case SERVER_FREEZES -> applyServerMode(fault, server, ServerMode.FROZEN);
        case SERVER_ERRORS -> applyServerMode(fault, server, ServerMode.ERRORS);
        case SERVER_FULL -> applyServerMode(fault, server, ServerMode.FULL);
        case SERVER_RESETS -> applyServerMode(fault, server, ServerMode.RESETS);
        case SERVER_ENDS -> applyServerMode(fault, server, ServerMode.ENDS);
        case SERVER_HALF_ANSWER -> applyServerMode(fault, server, ServerMode.HALF_ANSWER);
        case SERVER_SPOILT -> applyServerMode(fault, server, ServerMode.SPOILT);
        case SERVER_SLOW -> applyServerMode(fault, server, ServerMode.SLOW);
        case SERVER_CLOSES_IDLE -> applyServerMode(fault, server, ServerMode.CLOSES_IDLE);
        case SERVER_NETWORK_DELAYS -> applyNetworkCondition(fault, server,
            NetworkConditions.delayed(NETWORK_DELAY_MILLIS, NETWORK_JITTER_MILLIS));
        case SERVER_NETWORK_LOSES -> applyNetworkCondition(fault, server, NetworkConditions.lossy(RESET_SHARE));
        case SERVER_NETWORK_STALLS -> applyNetworkCondition(fault, server, NetworkConditions.STALLED);
        case SERVER_NETWORK_CUT -> applyNetworkCondition(fault, server, NetworkConditions.CUT);
        case SERVER_NETWORK_SLOW -> applyNetworkCondition(fault, server,
            NetworkConditions.throttled(SLOW_NETWORK_BYTES_PER_SECOND));
        case SERVER_CRASHES -> {
          server.crash();
          Threads.sleepMillis(fault.durationMillis());
          restart(server);
        }
        case SERVER_DRAINS -> {
          listing.changeLifecycle(server, ServerListing.TERMINATING);
          server.drain();
          Threads.sleepMillis(fault.durationMillis());
          server.moveClients();
          Threads.sleepMillis(config.drainGraceMillis());
          server.crash();
          restart(server);
        }
        case SERVER_REPLACED -> {
          listing.changeLifecycle(server, ServerListing.TERMINATED);
          Threads.sleepMillis(fault.durationMillis());
          server.crash();
          restart(server);
        }
        default -> throw new IllegalArgumentException(fault.toString());
      }
    }
  }

  /** Degrades the network between the proxies and the server; does nothing for a server without relays. */
  private static void applyNetworkCondition(Fault fault, SoakServer server, NetworkConditions condition) {
    if (server.setNetworkCondition(condition)) {
      Threads.sleepMillis(fault.durationMillis());
      server.setNetworkCondition(NetworkConditions.OPEN);
    }
  }

  private static void applyServerMode(Fault fault, SoakServer server, ServerMode mode) {
    server.mode(mode);
    Threads.sleepMillis(fault.durationMillis());
    server.mode(ServerMode.NORMAL);
  }

  private void restart(SoakServer server) throws IOException {
    server.restart();
    listing.put(server, ServerListing.IN_SERVICE, System.currentTimeMillis());
  }

  // ---- Proxies, their systems, discovery and clients ----

  private void injectAtProxy(Fault fault, SoakProxy proxy) throws IOException {
    FaultShim shim = proxy.shim();
    int failingCalls = 1 + fault.drawnValue() % MAX_FAILING_CALLS;
    switch (fault.kind()) {
      case STOP -> runIfInService(proxy, () -> {
        proxy.stop();
        proxy.start();
      });
      case KILL -> runIfInService(proxy, () -> {
        proxy.kill();
        proxy.start();
      });
      case RELOAD_SETTINGS -> runIfInService(proxy, () -> proxy.reload(false));
      case RELOAD_DISCOVERY -> runIfInService(proxy, () -> proxy.reload(true));
      case TWO_RELOADS_AND_A_STOP -> runIfInService(proxy, () -> {
        proxy.reload(false);
        proxy.reload(fault.drawnValue() % 2 == 0);
        proxy.stop();
        proxy.start();
      });
      case PAUSE -> pause(proxy, 1 + fault.drawnValue() % MAX_PAUSE_MILLIS);
      case CLOCK_STEP -> shim.stepWallClock(CLOCK_OFFSETS.get(fault.drawnValue() % CLOCK_OFFSETS.size()));
      case ACCEPT_FAILS -> shim.failNext(FaultShim.SystemCall.ACCEPT, pick(ACCEPT_ERRORS, fault), failingCalls);
      case SOCKET_FAILS -> shim.failNext(FaultShim.SystemCall.SOCKET, pick(SOCKET_ERRORS, fault), failingCalls);
      case CONNECT_FAILS -> shim.failNext(FaultShim.SystemCall.CONNECT, pick(CONNECT_ERRORS, fault), failingCalls);
      case WAIT_INTERRUPTED -> shim.failNext(FaultShim.SystemCall.WAIT, Errno.EINTR, fault.drawnValue());
      case SHORT_IO -> {
        shim.limitSocketBytes(1 + fault.drawnValue() % MAX_SOCKET_BYTES);
        Threads.sleepMillis(fault.durationMillis());
        shim.limitSocketBytes(0);
      }
      case DISCOVERY_DOWN -> applyDiscoveryMode(fault, proxy, DiscoveryEndpoint.Mode.DOWN);
      case DISCOVERY_SILENT -> applyDiscoveryMode(fault, proxy, DiscoveryEndpoint.Mode.SILENT);
      case DISCOVERY_SLOW -> applyDiscoveryMode(fault, proxy, DiscoveryEndpoint.Mode.SLOW);
      case DISCOVERY_UNAVAILABLE -> applyDiscoveryMode(fault, proxy, DiscoveryEndpoint.Mode.UNAVAILABLE);
      case DISCOVERY_DRIBBLES -> applyDiscoveryMode(fault, proxy, DiscoveryEndpoint.Mode.DRIBBLES);
      case WATCHES_FALL_SILENT -> proxy.activeDiscovery().stallWatches();
      case ALL_DISCOVERY_DOWN -> takeAllDiscoveryDown(fault);
      case BAD_CLIENTS -> startBadClients(proxy, fault.drawnValue());
      case LEAVERS -> startBurst(proxy, SoakClient.Behavior.RESETS_EARLY, SoakClient.Behavior.LEAVES_EARLY);
      case BURST -> startBurst(proxy, SoakClient.Behavior.STAYS, SoakClient.Behavior.WRITES_IN_PIECES);
      case IDLE_CROWD -> openIdleConnections(proxy, fault.durationMillis(),
          1 + fault.drawnValue() % MAX_IDLE_CONNECTIONS);
      default -> throw new IllegalArgumentException(fault.toString());
    }
  }

  private static Errno pick(List<Errno> errors, Fault fault) {
    return errors.get(fault.drawnValue() % errors.size());
  }

  private interface ProcessAction {
    void run() throws IOException;
  }

  /** Runs the actions on one process one after another; does nothing if the proxy is not in service. */
  private void runIfInService(SoakProxy proxy, ProcessAction action) throws IOException {
    synchronized (proxyLocks[proxy.number()]) {
      if (proxy.isInService()) {
        action.run();
      }
    }
  }

  private void pause(SoakProxy proxy, long millis) throws IOException {
    proxy.signal("STOP");
    Threads.sleepMillis(millis);
    proxy.signal("CONT");
  }

  private static void applyDiscoveryMode(Fault fault, SoakProxy proxy, DiscoveryEndpoint.Mode mode) throws IOException {
    DiscoveryEndpoint discovery = proxy.activeDiscovery();
    discovery.mode(mode);
    Threads.sleepMillis(fault.durationMillis());
    discovery.mode(DiscoveryEndpoint.Mode.UP);
  }

  private void takeAllDiscoveryDown(Fault fault) throws IOException {
    List<DiscoveryEndpoint> down = new ArrayList<>();
    for (SoakProxy proxy : proxies) {
      down.add(proxy.activeDiscovery());
      proxy.activeDiscovery().mode(DiscoveryEndpoint.Mode.DOWN);
    }
    Threads.sleepMillis(fault.durationMillis());
    for (DiscoveryEndpoint discovery : down) {
      discovery.mode(DiscoveryEndpoint.Mode.UP);
    }
  }

  private void startBadClients(SoakProxy proxy, int drawnValue) {
    for (BadClient.Kind kind : BadClient.Kind.values()) {
      for (int i = 0; i <= drawnValue % 3; i++) {
        if (proxy.isInService()) {
          Threads.start("bad-client", new BadClient(checker, proxy, kind));
        }
      }
    }
  }

  private void startBurst(SoakProxy proxy, SoakClient.Behavior... behaviors) {
    for (int i = 0; i < BURST_CLIENTS; i++) {
      clientStarter.startClient(proxy, behaviors[i % behaviors.length]);
    }
  }

  /** Opens connections that send nothing, and closes all of them at the end. */
  private void openIdleConnections(SoakProxy proxy, long millis, int count) {
    List<Socket> connections = new ArrayList<>();
    for (int i = 0; i < count && proxy.isInService(); i++) {
      try {
        connections.add(new Socket(proxy.address().getAddress(), proxy.address().getPort()));
      } catch (IOException e) {
        // The process is ending.
      }
    }
    Threads.sleepMillis(millis);
    for (Socket connection : connections) {
      try {
        connection.close();
      } catch (IOException e) {
        // The proxy has closed it already.
      }
    }
  }
}
