package lemondeal.lab.soak;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import lemondeal.lab.LineConnection;
import lemondeal.lab.ProxyProcess;
import lemondeal.lab.UnusedAddress;

/**
 * One proxy of a soak. Its process may be restarted any number of times at the same address; each started process is an
 * {@link Incarnation}.
 */
final class SoakProxy implements AutoCloseable {
  /** PROTOCOL: SIGKILL follows SIGTERM no earlier than the longest deadline, counted as 3 s if longer, plus 0.7 s. */
  private static final long MAX_DEADLINE_MILLIS = 3_000;
  private static final long STOP_MARGIN_MILLIS = 700;
  /** Prefix of the addresses on which proxies listen: 127.8.0.n. */
  private static final String PROXY_NETWORK = "127.8.0.";
  private static final long READY_TIMEOUT_MILLIS = 10_000;
  private static final Pattern FAILURE_LINE = Pattern.compile(
      "failed inside|OutOfMemory|StackOverflow|Too many open files(?! in system)|rule broken|Exception in thread");
  private static final Pattern ADDRESS_WITH_PORT = Pattern.compile(".*[0-9.]+:([0-9]+)$");

  /** One started process of the proxy. */
  static final class Incarnation {
    final Process process;
    final long startedAt = System.nanoTime();
    final List<String> log = new ArrayList<>();
    volatile boolean listening;
    volatile boolean ready;
    volatile InetSocketAddress adminAddress;
    /** When it got SIGTERM, or 0. */
    volatile long stopRequestedAt;
    volatile long killedAt;

    Incarnation(Process process) {
      this.process = process;
    }

    /** Whether it got SIGKILL, or is about to: its clients need not be answered any more. */
    boolean killed() {
      return killedAt != 0;
    }

    List<String> logLines(String part) {
      synchronized (log) {
        return log.stream().filter(line -> line.contains(part)).toList();
      }
    }
  }

  private final int number;
  private final SoakConfig config;
  private final RuleChecker checker;
  private final DrainChecker drainChecker;
  private final ServerListing listing;
  private final FaultShim shim;
  private final Path configFile;
  private final Path logFile;
  private final InetSocketAddress address;
  private final List<DiscoveryEndpoint> discoveryEndpoints = new ArrayList<>();
  private int activeDiscoveryIndex;
  private volatile int descriptorLimit;
  private int maxAttempts = 3;
  private volatile Incarnation incarnation;
  /** Prevents a fault that is still in progress from starting another process. */
  private boolean closed;

  SoakProxy(int number, SoakConfig config, RuleChecker checker, DrainChecker drainChecker, ServerListing listing,
      FaultShim shim, Path folder) throws IOException {
    this.number = number;
    this.config = config;
    this.checker = checker;
    this.drainChecker = drainChecker;
    this.listing = listing;
    this.shim = shim;
    configFile = folder.resolve("proxy-" + number + ".json");
    logFile = folder.resolve("proxy-" + number + ".log");
    // A log of an earlier soak with the same seed may exist.
    Files.deleteIfExists(logFile);
    // Its own loopback address, so that no other socket gets its port while the process is down.
    address = UnusedAddress.on(PROXY_NETWORK + (number + 1));
    discoveryEndpoints.add(new DiscoveryEndpoint(listing, drainChecker, number));
    discoveryEndpoints.add(new DiscoveryEndpoint(listing, drainChecker, number));
  }

  int number() {
    return number;
  }

  InetSocketAddress address() {
    return address;
  }

  FaultShim shim() {
    return shim;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  /** Returns the discovery endpoint that the configuration names at present. */
  DiscoveryEndpoint activeDiscovery() {
    return discoveryEndpoints.get(activeDiscoveryIndex);
  }

  private void writeConfig() throws IOException {
    String knownServers = ServerListing.json(listing.currentList(), true, number);
    Path newFile = configFile.resolveSibling(configFile.getFileName() + ".new");
    Files.writeString(newFile, config.json(number, address, activeDiscovery().address(), knownServers, maxAttempts));
    Files.move(newFile, configFile, java.nio.file.StandardCopyOption.ATOMIC_MOVE,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts the process; the previous one must have ended. */
  synchronized Incarnation start() throws IOException {
    if (closed) {
      throw new IOException("cannot start a proxy: the soak has ended");
    }
    writeConfig();
    List<String> serveCommand = ProxyProcess.command("serve");
    descriptorLimit = config.sockets() + classPathEntries(serveCommand);
    List<String> command = new ArrayList<>(List.of("sh", "-c", "ulimit -n " + descriptorLimit + "; exec \"$@\"", "sh"));
    command.addAll(serveCommand);
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.keySet().removeIf(name -> name.startsWith("GW_"));
    environment.put("GW_CONFIG", configFile.toString());
    environment.put("GW_TRACE", "1");
    environment.putAll(shim.environment());
    Incarnation started = new Incarnation(builder.start());
    checker.increment(RuleChecker.Counter.STARTS);
    discoveryEndpoints.forEach(DiscoveryEndpoint::processStarted);
    drainChecker.processStarted(number);
    incarnation = started;
    Threads.start("proxy-log", () -> readLog(started));
    Threads.start("proxy-watch", () -> supervise(started));
    return started;
  }

  /** Number of class path entries: each holds a descriptor if the program runs from a class path instead of one jar. */
  private static int classPathEntries(List<String> command) {
    int optionIndex = command.indexOf("-cp");
    return optionIndex < 0 ? 0 : command.get(optionIndex + 1).split(File.pathSeparator).length;
  }

  private void readLog(Incarnation source) {
    try (BufferedReader in = source.process.inputReader(StandardCharsets.UTF_8);
        java.io.Writer logWriter = Files.newBufferedWriter(logFile, java.nio.file.StandardOpenOption.CREATE,
            java.nio.file.StandardOpenOption.APPEND)) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        logWriter.write(checker.elapsedMillis() + " " + line + "\n");
        if (!in.ready()) {
          logWriter.flush();
        }
        if (!line.contains("trace")) {
          handleLogLine(source, line);
        }
      }
    } catch (IOException e) {
      // The process has ended.
    }
  }

  private void handleLogLine(Incarnation source, String line) {
    synchronized (source.log) {
      source.log.add(line);
    }
    if (line.contains("listening on ")) {
      source.listening = true;
    } else if (line.contains("second address ")) {
      source.adminAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(),
          Integer.parseInt(ADDRESS_WITH_PORT.matcher(line).replaceAll("$1")));
    } else if (FAILURE_LINE.matcher(line).find()) {
      checker.reportViolation(Rule.INTERNAL_FAILURE, "proxy " + number + " logged: " + line);
    }
  }

  /** Checks that the process becomes ready in time and ends only on request. */
  private void supervise(Incarnation supervised) {
    long limitMillis = READY_TIMEOUT_MILLIS + checker.allowanceMillis();
    while (!supervised.ready && supervised.process.isAlive() && ageMillis(supervised) < limitMillis) {
      Threads.sleepMillis(20);
      supervised.ready = supervised.listening && answersPing();
    }
    if (!supervised.ready && supervised.stopRequestedAt == 0 && !supervised.killed()) {
      checker.reportViolation(Rule.NOT_READY,
          "proxy " + number + " was not ready " + ageMillis(supervised) + " ms after its start");
    }
    try {
      int exitCode = supervised.process.waitFor();
      boolean stopRequested = supervised.stopRequestedAt != 0;
      if (!supervised.killed() && (!stopRequested || exitCode != 0)) {
        checker.reportViolation(Rule.CRASH,
            "proxy " + number + " ended with exit code " + exitCode + (stopRequested ? " after SIGTERM" : ""));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long ageMillis(Incarnation incarnation) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - incarnation.startedAt);
  }

  private boolean answersPing() {
    try (LineConnection lines = LineConnection.connect(address)) {
      lines.setReadTimeout(2_000);
      lines.writeLines("PING");
      return "PONG".equals(lines.readLine());
    } catch (IOException e) {
      return false;
    }
  }

  /** Whether clients are sent to this proxy: it is ready and neither stopping nor killed. */
  boolean isInService() {
    Incarnation current = incarnation;
    return current != null && current.ready && current.stopRequestedAt == 0 && current.killedAt == 0;
  }

  void signal(String signalName) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + signalName, Long.toString(incarnation.process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends SIGTERM and waits for the end; kills the process after the time allowed for a shutdown. */
  void stop() throws IOException {
    Incarnation stopped = incarnation;
    stopped.stopRequestedAt = System.nanoTime();
    // Uses the process handle because Process.destroy would also close the pipe of the log.
    stopped.process.toHandle().destroy();
    long limitMillis = Math.min(MAX_DEADLINE_MILLIS, config.longestDeadlineMillis()) + STOP_MARGIN_MILLIS;
    try {
      if (!stopped.process.waitFor(limitMillis + checker.allowanceMillis(), TimeUnit.MILLISECONDS)) {
        checker.reportViolation(Rule.SLOW_STOP,
            "proxy " + number + " was still running " + limitMillis + " ms after SIGTERM");
        kill();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() {
    incarnation.killedAt = System.nanoTime();
    incarnation.process.destroyForcibly();
    try {
      incarnation.process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Rewrites the configuration, with another discovery address or another setting, and sends SIGHUP. */
  void reload(boolean switchDiscovery) throws IOException {
    Incarnation reloaded = incarnation;
    int earlierReloads = reloaded.logLines("configuration read anew").size();
    if (switchDiscovery) {
      activeDiscoveryIndex = 1 - activeDiscoveryIndex;
    } else {
      maxAttempts = 5 - maxAttempts;
    }
    writeConfig();
    drainChecker.reloadRequested(number);
    signal("HUP");
    long giveUpAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(5_000 + checker.allowanceMillis());
    while (reloaded.logLines("configuration read anew").size() <= earlierReloads) {
      if (reloaded.stopRequestedAt != 0 || reloaded.killed() || !reloaded.process.isAlive()) {
        return;
      }
      if (System.nanoTime() > giveUpAt) {
        checker.reportViolation(Rule.RELOAD_IGNORED,
            "proxy " + number + " did not reload its configuration after SIGHUP");
        return;
      }
      Threads.sleepMillis(10);
    }
  }

  /** Checks the violations that the proxy itself counts, and the number of its open descriptors. */
  void inspect() {
    Incarnation inspected = incarnation;
    String[] descriptors = new File("/proc/" + inspected.process.pid() + "/fd").list();
    if (descriptors != null && descriptors.length > descriptorLimit) {
      checker.reportViolation(Rule.DESCRIPTORS,
          "proxy " + number + " holds " + descriptors.length + " descriptors, configured limit " + config.sockets());
    }
    if (inspected.adminAddress == null || !isInService()) {
      return;
    }
    try (LineConnection lines = LineConnection.connect(inspected.adminAddress)) {
      lines.setReadTimeout(2_000);
      lines.writeLines("show-stat");
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith("violations.") && !line.endsWith("=0")) {
          checker.reportViolation(Rule.SELF_REPORTED, "proxy " + number + " reports " + line);
        }
      }
    } catch (IOException e) {
      // The process is ending; supervise() checks whether it was asked to.
    }
  }

  @Override
  public synchronized void close() {
    closed = true;
    if (incarnation != null) {
      kill();
    }
    discoveryEndpoints.forEach(DiscoveryEndpoint::close);
  }
}
