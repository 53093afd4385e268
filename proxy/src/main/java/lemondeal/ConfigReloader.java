package lemondeal;

import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondeal.config.Config;
import lemondeal.log.EventLog;

/**
 * Reloads the configuration on request, off the I/O thread and one reload at a time. Only a valid configuration is
 * passed on; an invalid one is logged in one line.
 */
final class ConfigReloader implements AutoCloseable {
  private static final long IDLE_SECONDS = 5;

  private final Map<String, String> environment;
  private final Consumer<Config> onReload;
  private final EventLog log;
  /** At most one thread, and none while idle. */
  private final ThreadPoolExecutor executor = new ThreadPoolExecutor(0, 1, IDLE_SECONDS, TimeUnit.SECONDS,
      new LinkedBlockingQueue<>(), ConfigReloader::newDaemonThread);
  /** Reloads the operator's file; throws if it cannot be used. */
  private final Runnable reloadOperatorFile;
  private Config config;

  ConfigReloader(Config config, Map<String, String> environment, Consumer<Config> onReload, EventLog log,
      Runnable reloadOperatorFile) {
    this.config = config.withoutKnownServers();
    this.environment = environment;
    this.onReload = onReload;
    this.log = log;
    this.reloadOperatorFile = reloadOperatorFile;
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "reload");
    thread.setDaemon(true);
    return thread;
  }

  /** Requests a reload, on any thread. */
  void request() {
    executor.execute(this::reloadConfig);
    executor.execute(this::reloadFeatures);
  }

  /** No error in a file may stop a running proxy. */
  private void reloadConfig() {
    try {
      Config reloaded = config.reread(environment);
      List<String> restartOnly = config.restartOnlyChanges(reloaded);
      onReload.accept(reloaded);
      log.info("reload", "lemondeal: configuration read anew, discovery at " + reloaded.discovery()
          + (restartOnly.isEmpty() ? "" : "; " + String.join(", ", restartOnly) + " take effect at the next start"));
      config = reloaded.withoutKnownServers();
    } catch (RuntimeException | OutOfMemoryError e) {
      log.warn("reload-refused", "lemondeal: the configuration stays as it was: " + e.getMessage());
    }
  }

  private void reloadFeatures() {
    try {
      reloadOperatorFile.run();
    } catch (RuntimeException e) {
      log.warn("operator-reload-refused", "lemondeal: the operator's file and keys stay as they were: "
          + e.getMessage().replace('\n', ';'));
    }
  }

  /** Stops reloading. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
