import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What all cases share: the temporary folder, the record, the processes that were started and the verdict. The working
 * directory is the root of the repository.
 */
final class Rig implements AutoCloseable {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int NOT_RUN = 2;
  /** What the socket rules add to each time limit (PROTOCOL, "The rules on sockets"). */
  static final long SOCKET_SLACK_MILLIS = 50;
  private static final long LONGEST_RUN_MILLIS = 115_000;

  /** Runs a case and returns its exit code. */
  interface Body {
    int run(Rig rig) throws Exception;
  }

  /** A proxy in a process of its own, started by the deploy file's command. */
  static final class Proxy {
    private final Process process;
    private final List<String> log = new ArrayList<>();
    int port;

    private Proxy(Process process) {
      this.process = process;
    }

    private synchronized void add(String line) {
      log.add(line);
      notifyAll();
    }

    synchronized String awaitLine(String pattern, long millis) throws InterruptedException {
      Pattern wanted = Pattern.compile(pattern);
      long end = System.nanoTime() + millis * 1_000_000;
      while (true) {
        for (String line : log) {
          Matcher matcher = wanted.matcher(line);
          if (matcher.find()) {
            return matcher.groupCount() > 0 ? matcher.group(1) : line;
          }
        }
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0 || !process.isAlive()) {
          return null;
        }
        wait(Math.min(left, 200));
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    void signal(String name) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    int awaitExit(long millis) throws InterruptedException {
      return process.waitFor(millis, java.util.concurrent.TimeUnit.MILLISECONDS) ? process.exitValue() : -1;
    }

    void kill() throws InterruptedException {
      process.destroyForcibly().waitFor();
    }

    synchronized List<String> log() {
      return List.copyOf(log);
    }
  }

  final Path folder;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final long startedNanos = System.nanoTime();
  private final PrintWriter record;
  private final List<Proxy> proxies = new ArrayList<>();

  private Rig(Path caseFolder) throws IOException {
    folder = Files.createTempDirectory("lemondeal-review");
    record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
  }

  /** Runs the case in its folder, ends everything that it started, and exits with its verdict. */
  static void main(String[] arguments, Body body) {
    int code = NOT_RUN;
    try {
      Rig rig = new Rig(Path.of(arguments[0]));
      Runtime.getRuntime().addShutdownHook(new Thread(rig::endProcesses));
      Thread watchdog = new Thread(() -> rig.endLongRun());
      watchdog.setDaemon(true);
      watchdog.start();
      try (rig) {
        rig.note("trouble: " + (rig.trouble ? "yes" : "no"));
        try {
          code = body.run(rig);
        } catch (Exception e) {
          rig.note("could not run: " + e);
          rig.proxies.forEach(proxy -> proxy.log().forEach(line -> rig.note("log: " + line)));
        }
        rig.note("exit code " + code);
      }
    } catch (IOException e) {
      System.err.println("could not run: " + e);
    }
    Runtime.getRuntime().exit(code);
  }

  private void endLongRun() {
    try {
      Thread.sleep(LONGEST_RUN_MILLIS);
    } catch (InterruptedException e) {
      return;
    }
    note("could not run: it took too long");
    record.flush();
    endProcesses();
    Runtime.getRuntime().halt(NOT_RUN);
  }

  /** Milliseconds since the start of the case. */
  double now() {
    return (System.nanoTime() - startedNanos) / 1e6;
  }

  void sleepUntil(double millis) throws InterruptedException {
    long left = (long) Math.ceil(millis - now());
    if (left > 0) {
      Thread.sleep(left);
    }
  }

  /** Writes a line to the record. */
  void note(String text) {
    synchronized (record) {
      record.println(String.format(Locale.ROOT, "%10.1f %s", now(), text));
    }
  }

  /** Writes a line to the record and to standard output. */
  void say(String text) {
    note(text);
    System.out.println(text);
  }

  Path write(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text);
  }

  /** Starts a proxy by the deploy file's command and waits until it listens. */
  Proxy startProxy(Map<String, String> environment) throws IOException, InterruptedException {
    ProcessBuilder builder = new ProcessBuilder("sh", "-c", runCommand()).redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
    builder.environment().put("TMPDIR", Files.createTempDirectory(folder, "tmp").toString());
    builder.environment().putAll(environment);
    Proxy proxy = new Proxy(builder.start());
    synchronized (proxies) {
      proxies.add(proxy);
    }
    Thread reader = new Thread(() -> readLog(proxy), "log");
    reader.setDaemon(true);
    reader.start();
    String port = proxy.awaitLine("listening on [0-9.]+:([0-9]+)", 30_000);
    if (port == null) {
      throw new IOException("the proxy did not start");
    }
    proxy.port = Integer.parseInt(port);
    note("the proxy listens, process " + proxy.process.pid());
    return proxy;
  }

  private void readLog(Proxy proxy) {
    try (BufferedReader in = proxy.process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        note("log: " + line);
        proxy.add(line);
      }
    } catch (IOException e) {
      proxy.add("cannot read the log: " + e);
    }
  }

  private static String runCommand() throws IOException {
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no run command");
    }
    return run.group(1).replace("\\\"", "\"");
  }

  static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 512, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "rig", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void endProcesses() {
    synchronized (proxies) {
      proxies.forEach(proxy -> proxy.process.destroyForcibly());
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    record.flush();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
