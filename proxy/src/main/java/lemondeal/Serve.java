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
 * Runs one real proxy until SIGTERM. The order is heard before the first client can be let in: a process that ends
 * without it cuts off whoever it has accepted.
 */
public final class Serve {
  /** What can't be used was said in a line for each fault. */
  private static final int EXIT_BAD_USE = 2;

  /**
   * How long the end waits for the I/O thread. A JVM that halts while a thread waits in the system for its sockets goes on
   * waiting for that thread for 0.3 s itself (HotSpot, VM_Exit::wait_for_threads_in_native_to_block): longer than is left
   * before SIGKILL may come.
   */
  private static final long CLOSE_WAIT_MILLIS = 100;

  /** How long the end waits for the log, which may stand still. */
  private static final long LOG_DRAIN_MILLIS = 150;

  private enum State { STARTING, RUNNING, REFUSED }

  private final Proxy proxy;
  /** Null where there is no operator's file. */
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
   * Starts the proxy; its threads go on when this returns.
   *
   * @param operatorFile the operator's own file, or null where there is none
   * @return 0, or the exit code with which the program is to end
   */
  public static int run(Map<String, String> environment, Path operatorFile) {
    try {
      OperatorFeatures features = operatorFile == null ? null : OperatorFeatures.read(operatorFile);
      Config config = features == null ? Config.read(environment) : Config.read(environment, features.ringsMb());
      if (features != null) {
        features.begin(config);
      }
      EventLog log = features == null ? new PlainLog(System.err) : features.log();
      Balancer module = withTrace(features == null ? new DecisionModule() : features.module(config), config.name(), environment, log);
      Proxy proxy = features == null ? new Proxy(config, module, log, null)
          : new Proxy(config, module, log, features.resumption(), features.listSources());
      if (features == null) {
        String name = config.name();
        proxy.setModuleFactory(() -> withTrace(new DecisionModule(), name, environment, log));
      }
      if (!environment.getOrDefault("GW_TRACE", "").isEmpty()) {
        proxy.traceRequests();
      }
      ConfigReloader reload = new ConfigReloader(config, environment, proxy::reconfigure, log,
          features == null ? () -> { } : features::reload);
      Signals.onHangup(reload::request);
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

  /** {@code GW_TRACE} has all that the module hears and decides told in the log, for a while of looking closely. */
  private static Balancer withTrace(Balancer module, String name, Map<String, String> environment, EventLog log) {
    return environment.getOrDefault("GW_TRACE", "").isEmpty() ? module
        : new TracingBalancer(module, log, name, System::currentTimeMillis);
  }

  /** A process that can't hear an order goes on as if it had not been given: whoever gives it has to know. */
  private static void warnOfIgnoredSignals(EventLog log) {
    List<String> ignored = Signals.ignored();
    if (!ignored.isEmpty()) {
      String names = String.join(", ", ignored);
      log.warn("signals-ignored", "lemondeal: started with " + names + " ignored, and will not hear them; start it with"
          + " env --default-signal=HUP,INT,TERM", "signals", names);
    }
  }

  /** From now on SIGTERM runs {@link #stop}; false if the process is ending already. */
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
      String second = Addresses.format(proxy.adminAddress());
      log.info("second-address", "lemondeal: second address " + second, "address", second);
    }
  }

  /** Runs on SIGTERM, and after a start that was refused; the process ends when this returns. */
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
      // Before the sockets close: with an inherited one the JDK closes the log, too.
      LogQueue.drainInstalled(LOG_DRAIN_MILLIS);
      proxy.awaitClose(CLOSE_WAIT_MILLIS);
      Runtime.getRuntime().halt(0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
