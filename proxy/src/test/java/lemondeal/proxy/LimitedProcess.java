package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import lemondeal.ProgramCommands;

/** The program as a process of its own, which may hold only so many descriptors. */
final class LimitedProcess implements AutoCloseable {
  private static final int PATIENCE_S = 30;
  /** What {@code serve} uses: on the tests' whole class path it would hold a descriptor for each further library. */
  private static final Pattern NEEDED = Pattern.compile(
      ".*(target/classes|/(jackson-core|xnio-api|xnio-nio|jboss-logging|wildfly-common|wildfly-client-config"
          + "|jboss-threads)-[^/]*\\.jar)");

  private final Process process;
  private final Queue<String> log = new ConcurrentLinkedQueue<>();
  private final CountDownLatch listening = new CountDownLatch(2);
  private volatile int port;
  private volatile int adminPort;

  /** Returns once both addresses are listened on. */
  LimitedProcess(Path config, int sockets) throws Exception {
    List<String> path = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(NEEDED.asMatchPredicate()).toList();
    // Where the deployed program has one jar, this one has so many, and a folder.
    int limit = sockets + path.size() - 2;
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> command = new ArrayList<>(ProgramCommands.DEFAULT_SIGNALS);
    command.addAll(List.of("sh", "-c", "ulimit -n " + limit + "; exec \"$@\"", "sh", java,
        "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-cp",
        String.join(File.pathSeparator, path), "lemondeal.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("GW_CONFIG", config.toString());
    process = builder.redirectErrorStream(true).start();
    Thread reader = new Thread(this::readLog, "log");
    reader.setDaemon(true);
    reader.start();
    if (!listening.await(PATIENCE_S, TimeUnit.SECONDS)) {
      close();
      throw new AssertionError("not listening: " + log);
    }
  }

  private void readLog() {
    try (BufferedReader lines = process.inputReader(StandardCharsets.ISO_8859_1)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        log.add(line);
        int last = Integer.parseInt("0" + line.replaceAll(".*?(\\d*)$", "$1").replaceAll("^\\d{6,}$", ""));
        if (line.contains("listening on ")) {
          port = last;
          listening.countDown();
        } else if (line.contains("second address ")) {
          adminPort = last;
          listening.countDown();
        }
      }
    } catch (IOException e) {
      log.add("the log ended: " + e);
    }
  }

  int port() {
    return port;
  }

  int adminPort() {
    return adminPort;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** What its log says, but for what a start and the module say. */
  List<String> complaints() {
    String usual = ".*(listening on|second address|ready$|example |<clinit>|INFO: XNIO ).*";
    return log.stream().filter(line -> !line.matches(usual)).collect(Collectors.toList());
  }

  int descriptors() {
    String[] open = new File("/proc/" + process.pid() + "/fd").list();
    assertNotNull(open, "the process has ended: " + log);
    return open.length;
  }

  /** The descriptors that are no sockets, by what they stand for. */
  List<String> files() {
    File[] open = new File("/proc/" + process.pid() + "/fd").listFiles();
    return Arrays.stream(open).flatMap(LimitedProcess::target).filter(name -> !name.startsWith("socket:")).sorted()
        .toList();
  }

  /** Nothing for one that was closed since the folder was listed: it is not held. */
  private static Stream<String> target(File descriptor) {
    try {
      return Stream.of(Files.readSymbolicLink(descriptor.toPath()).toString());
    } catch (NoSuchFileException e) {
      return Stream.empty();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().orTimeout(PATIENCE_S, TimeUnit.SECONDS).join();
  }
}
