package lemondeal.lab;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.Main;

/** A real proxy in a child process, started as an operator starts it. {@link #close} ends it. */
public final class ProxyProcess implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 30;
  /** Signals ignored in the parent, as under {@code nohup}, would be ignored in the proxy as well. */
  private static final List<String> RESET_SIGNALS = List.of("env", "--default-signal=HUP,INT,TERM");
  private static final List<String> JVM_FLAGS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m",
      "-Xss512k");

  private final Process process;
  private final BlockingQueue<String> unreadLines = new LinkedBlockingQueue<>();
  private final List<String> allLines = new ArrayList<>();
  private InetSocketAddress address;

  private ProxyProcess(Process process) {
    this.process = process;
    Thread reader = new Thread(this::readLog, "serve-log");
    reader.setDaemon(true);
    reader.start();
  }

  /** Returns the command line that runs the program with the arguments. */
  public static List<String> command(String... arguments) {
    List<String> command = new ArrayList<>(RESET_SIGNALS);
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(JVM_FLAGS);
    Path programFile = programPath();
    if (Files.isRegularFile(programFile)) {
      command.addAll(List.of("-jar", programFile.toString()));
    } else {
      command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
    }
    command.addAll(List.of(arguments));
    return command;
  }

  private static Path programPath() {
    try {
      return Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    } catch (URISyntaxException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Starts a proxy and waits until it listens. {@code operatorFile} may be null. */
  public static ProxyProcess start(Path config, Path operatorFile) throws IOException, InterruptedException {
    return start(config, operatorFile, Map.of());
  }

  /** Starts a proxy with additional environment variables. */
  public static ProxyProcess start(Path config, Path operatorFile, Map<String, String> extraEnvironment)
      throws IOException, InterruptedException {
    ProcessBuilder builder = new ProcessBuilder(command("serve")).redirectErrorStream(true);
    Map<String, String> environment = builder.environment();
    environment.keySet().removeIf(name -> name.startsWith("GW_"));
    environment.put("GW_CONFIG", config.toString());
    if (operatorFile != null) {
      environment.put("GW_OPERATOR_CONFIG", operatorFile.toString());
    }
    environment.putAll(extraEnvironment);
    ProxyProcess proxy = new ProxyProcess(builder.start());
    String line = proxy.awaitLog("listening on ");
    proxy.address = new InetSocketAddress(InetAddress.getLoopbackAddress(),
        Integer.parseInt(line.replaceAll(".*listening on [0-9.]+:([0-9]+).*", "$1")));
    return proxy;
  }

  private void readLog() {
    try (BufferedReader in = process.inputReader(StandardCharsets.UTF_8)) {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        synchronized (allLines) {
          allLines.add(line);
        }
        unreadLines.add(line);
      }
    } catch (IOException e) {
      unreadLines.add("cannot read the proxy's output: " + e);
    }
  }

  /** Waits for a log line that contains the text; consumes the lines before it. */
  public String awaitLog(String text) throws IOException, InterruptedException {
    while (true) {
      String line = unreadLines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (line == null) {
        close();
        throw new IOException("the proxy did not log '" + text + "': " + log());
      }
      if (line.contains(text)) {
        return line;
      }
    }
  }

  /** Returns all log lines so far. */
  public List<String> log() {
    synchronized (allLines) {
      return List.copyOf(allLines);
    }
  }

  public InetSocketAddress address() {
    return address;
  }

  public long pid() {
    return process.pid();
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM. */
  public void stop() {
    process.destroy();
  }

  /** Sends SIGKILL and waits for the end. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  public void sendSighup() throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
  }

  /** Waits for the process to end and returns its exit code. */
  public int awaitExit() throws IOException, InterruptedException {
    if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      close();
      throw new IOException("the proxy did not exit: " + log());
    }
    return process.exitValue();
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
