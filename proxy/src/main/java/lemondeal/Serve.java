package lemondeal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import lemondeal.config.Addresses;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.log.EventLog;
import lemondeal.log.LogQueue;
import lemondeal.log.PlainLog;
import lemondeal.module.DecisionModule;
import lemondeal.proxy.Proxy;
import lemondeal.trace.TracingBalancer;

/**
 * Runs one proxy until SIGTERM. The shutdown hook is registered before the first client can be accepted: a process that
 * exits without it would cut off its accepted clients.
 */
public final class Serve {
  /** Exit code for a configuration that cannot be used; each error was printed in one line. */
  private static final int EXIT_BAD_USE = 2;

  /**
   * How long the exit waits for the I/O thread. If a thread is blocked in native code, such as in the selector, when
   * the JVM halts, the JVM itself waits for it for 0.3 s (HotSpot, VM_Exit::wait_for_threads_in_native_to_block),
   * which is longer than the time left before a SIGKILL.
   */
  private static final long CLOSE_WAIT_MILLIS = 100;

  /** How long the exit waits for the log, whose reader may have stopped. */
  private static final long LOG_DRAIN_MILLIS = 150;

  private enum State { STARTING, RUNNING, REFUSED }

  private final Proxy proxy;
  /** Null without an operator's file. */
  private final OperatorFeatures features;
  private final EventLog log;
  private final CountDownLatch startFinished = new CountDownLatch(1);
  private volatile State state = State.STARTING;

  private Serve(Proxy proxy, OperatorFeatures features, EventLog log) {
    this.proxy = proxy;
    this.features = features;
    this.log = log;
  }

  /**
   * Starts the proxy, whose threads keep running when this returns.
   *
   * @param operatorFile the operator's file, or null
   * @return 0, or the exit code of the program
   */
  public static int run(Map<String, String> environment, Path operatorFile) {
    try {
      OperatorFeatures features = operatorFile == null ? null : OperatorFeatures.read(operatorFile);
      Config config = features == null ? Config.read(environment) : Config.read(environment, features.ringsMb());
      if (features != null) {
        features.begin(config);
      }
      EventLog log = features == null ? new PlainLog(System.err) : features.log();
      Balancer module = withTrace(features == null ? new DecisionModule() : features.module(config), config.name(),
          environment, log);
      Proxy proxy = features == null ? new Proxy(config, module, log, null)
          : new Proxy(config, module, log, features.resumption(), features.listSources());
      if (features == null) {
        String name = config.name();
        proxy.setModuleFactory(() -> withTrace(new DecisionModule(), name, environment, log));
      }
      if (!environment.getOrDefault("GW_TRACE", "").isEmpty()) {
        proxy.traceRequests();
      }
      ConfigReloader reloader = new ConfigReloader(config, environment, proxy::reconfigure, log,
          features == null ? () -> { } : features::reload);
      Signals.onHangup(reloader::request);
      warnOfIgnoredSignals(log);
      Serve serve = new Serve(proxy, features, log);
      if (serve.addShutdownHook()) {
        serve.start();
      }
      return 0;
    } catch (ConfigException | IOException e) {
      for (String line : e.getMessage().split("\n")) {
        System.err.println("lemondeal: " + line);
      }
      return EXIT_BAD_USE;
    }
  }

  /** Where {@code GW_TRACE} is set, logs all events and actions of the decision module, for debugging. */
  private static Balancer withTrace(Balancer module, String name, Map<String, String> environment, EventLog log) {
    return environment.getOrDefault("GW_TRACE", "").isEmpty() ? module
        : new TracingBalancer(module, log, name, System::currentTimeMillis);
  }

  /** Logs a warning if the process was started with signals ignored: sending them then has no effect. */
  private static void warnOfIgnoredSignals(EventLog log) {
    List<String> ignored = Signals.ignored();
    if (!ignored.isEmpty()) {
      String names = String.join(", ", ignored);
      log.warn("signals-ignored", "lemondeal: started with " + names + " ignored and cannot handle them; start it with"
          + " env --default-signal=HUP,INT,TERM", "signals", names);
    }
  }

  /** Makes SIGTERM run {@link #stop}; returns false if the process is already exiting. */
  private boolean addShutdownHook() {
    try {
      Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
      return true;
    } catch (IllegalStateException e) {
      return false;
    }
  }

  private void start() throws IOException {
    State result = State.REFUSED;
    try {
      proxy.start();
      finishStart(State.RUNNING);
      if (features != null) {
        features.begin(proxy);
      }
      result = State.RUNNING;
    } finally {
      finishStart(result);
    }
    logAddresses();
  }

  private void finishStart(State result) {
    state = result;
    startFinished.countDown();
  }

  private void logAddresses() {
    String address = Addresses.format(proxy.localAddress());
    log.info("listening", "lemondeal: listening on " + address, "address", address);
    if (proxy.adminAddress() != null) {
      String adminAddress = Addresses.format(proxy.adminAddress());
      log.info("second-address", "lemondeal: second address " + adminAddress, "address", adminAddress);
    }
  }

  /** Runs on SIGTERM and after a failed start; the process exits when this returns. */
  private void stop() {
    try {
      startFinished.await();
      if (state == State.REFUSED) {
        return;
      }
      log.info("stopping", "lemondeal: stopping");
      proxy.stop();
      if (features != null) {
        features.close();
      }
      log.info("stopped", "lemondeal: stopped");
      // Before the sockets close: when an inherited one closes, the JDK closes standard error too.
      LogQueue.drainInstalled(LOG_DRAIN_MILLIS);
      proxy.awaitClose(CLOSE_WAIT_MILLIS);
      Runtime.getRuntime().halt(0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
