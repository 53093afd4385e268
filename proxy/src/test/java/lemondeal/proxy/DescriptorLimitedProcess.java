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

/** The program as a separate process with a limit on its open descriptors. */
final class DescriptorLimitedProcess implements AutoCloseable {
  private static final int TIMEOUT_S = 30;
  /** The class path that {@code serve} needs: each further library of the tests would cost a descriptor. */
  private static final Pattern RUNTIME_CLASS_PATH = Pattern.compile(
      ".*(target/classes|/(jackson-core|xnio-api|xnio-nio|jboss-logging|wildfly-common|wildfly-client-config"
          + "|jboss-threads)-[^/]*\\.jar)");

  private final Process process;
  private final Queue<String> logLines = new ConcurrentLinkedQueue<>();
  private final CountDownLatch listeningLatch = new CountDownLatch(2);
  private volatile int port;
  private volatile int adminPort;

  /** Starts the program; returns once it listens on both addresses. */
  DescriptorLimitedProcess(Path config, int maxDescriptors) throws Exception {
    List<String> classPath = Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(RUNTIME_CLASS_PATH.asMatchPredicate()).toList();
    // The deployed program has one jar; this one has several and a classes folder, which need descriptors too.
    int limit = maxDescriptors + classPath.size() - 2;
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    List<String> command = new ArrayList<>(ProgramCommands.DEFAULT_SIGNALS);
    command.addAll(List.of("sh", "-c", "ulimit -n " + limit + "; exec \"$@\"", "sh", java,
        "-XX:+UseSerialGC", "-XX:-UsePerfData", "-Djava.net.preferIPv4Stack=true", "-cp",
        String.join(File.pathSeparator, classPath), "lemondeal.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("GW_CONFIG", config.toString());
    process = builder.redirectErrorStream(true).start();
    Thread reader = new Thread(this::readLog, "log");
    reader.setDaemon(true);
    reader.start();
    if (!listeningLatch.await(TIMEOUT_S, TimeUnit.SECONDS)) {
      close();
      throw new AssertionError("not listening: " + logLines);
    }
  }

  private void readLog() {
    try (BufferedReader lines = process.inputReader(StandardCharsets.ISO_8859_1)) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        logLines.add(line);
        int lastNumber = Integer.parseInt("0" + line.replaceAll(".*?(\\d*)$", "$1").replaceAll("^\\d{6,}$", ""));
        if (line.contains("listening on ")) {
          port = lastNumber;
          listeningLatch.countDown();
        } else if (line.contains("second address ")) {
          adminPort = lastNumber;
          listeningLatch.countDown();
        }
      }
    } catch (IOException e) {
      logLines.add("the log ended: " + e);
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

  /** Log lines other than those of a normal start and of the module. */
  List<String> unexpectedLogLines() {
    String expected = ".*(listening on|second address|ready$|example |<clinit>|INFO: XNIO ).*";
    return logLines.stream().filter(line -> !line.matches(expected)).collect(Collectors.toList());
  }

  int openDescriptors() {
    String[] entries = new File("/proc/" + process.pid() + "/fd").list();
    assertNotNull(entries, "the process has ended: " + logLines);
    return entries.length;
  }

  /** The targets of the descriptors that are not sockets. */
  List<String> nonSocketDescriptors() {
    File[] entries = new File("/proc/" + process.pid() + "/fd").listFiles();
    return Arrays.stream(entries).flatMap(DescriptorLimitedProcess::linkTarget)
        .filter(name -> !name.startsWith("socket:")).sorted().toList();
  }

  /** The target of a descriptor; empty for one that was closed since the folder was listed. */
  private static Stream<String> linkTarget(File descriptor) {
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
    process.destroyForcibly().onExit().orTimeout(TIMEOUT_S, TimeUnit.SECONDS).join();
  }
}
