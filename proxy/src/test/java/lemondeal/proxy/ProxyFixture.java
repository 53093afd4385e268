package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.ScriptedBalancer;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.ListSource;
import lemondeal.log.PlainLog;
import lemondeal.net.Listener;
import lemondeal.resume.ResumptionContext;

/**
 * A proxy on loopback with servers, a discovery endpoint and a scripted decision module. To make two events race in a
 * fixed order, a test calls {@link #pauseEventLoop}, sends both, waits until the kernel has them, and resumes the loop.
 */
final class ProxyFixture implements AutoCloseable {
  private static final int TIMEOUT_MS = 10_000;
  static final String SERVER = "s-1";
  /** The temporary folder of proxies that share a listening socket; the build's own, which is emptied with it. */
  private static final String SHARED_FOLDER = "target";

  /** What a test configures differently from the defaults. */
  static final class Options {
    /** Inserted into the settings of this kind of service; must end in a comma. */
    String serviceSettings = "";
    int maxSockets = 1024;
    int serverCount = 1;
    /** The longest time that clients wait, in microseconds. */
    long longestDeadline = 2_000_000;
    PrintStream log = System.err;
    /** The clients' listening socket if the proxy shares it with another process; otherwise null. */
    ServerSocketChannel sharedListener;
    /** Not null if clients of class chat can resume. */
    ResumptionContext resumption;
    /** Replaces the script; its settings say that lists are pushed unless {@link #editConfig} changes that. */
    Balancer module;
    /** Edits the text of the configuration. */
    UnaryOperator<String> editConfig = text -> text;
  }

  /** The proxy's event loop, blocked until the test resumes it. */
  static final class EventLoopPause implements AutoCloseable {
    private final CountDownLatch resumed = new CountDownLatch(1);

    private void blockUntilResumed(CountDownLatch paused) {
      paused.countDown();
      try {
        assertTrue(resumed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the event loop was never resumed");
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    void resume() {
      resumed.countDown();
    }

    @Override
    public void close() {
      resume();
    }
  }

  /** The system's clock plus an offset that the test sets. */
  private static final class AdjustableClock extends Clock {
    private volatile long offset;

    @Override
    long now() {
      return super.now() + offset;
    }

    @Override
    long wallTime() {
      return super.wallTime() + offset;
    }
  }

  /** Reports each event to the test and delegates the decision to the module. */
  private record RecordingBalancer(Balancer delegate, Consumer<Event> onEvent) implements Balancer {
    @Override
    public List<Action> on(long now, Event event) {
      onEvent.accept(event);
      return delegate.on(now, event);
    }

    @Override
    public ServerSummary serverSummary(long now) {
      return delegate.serverSummary(now);
    }
  }

  /** A blocking socket that sends and reads lines. */
  static final class LineSocket implements AutoCloseable {
    final Socket socket;

    LineSocket(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MS);
      // Each piece is sent at once, as its own segment.
      socket.setTcpNoDelay(true);
    }

    LineSocket send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** Returns the next line without its CRLF, or null at the end of the connection. */
    String readLine() throws IOException {
      InputStream in = socket.getInputStream();
      StringBuilder line = new StringBuilder();
      for (int b = in.read(); b >= 0; b = in.read()) {
        if (b == '\n') {
          return line.substring(0, line.length() - 1);
        }
        line.append((char) b);
      }
      return null;
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Closes this side's output; the other direction stays open. */
    LineSocket endSending() throws IOException {
      socket.shutdownOutput();
      return this;
    }

    /** Waits until the proxy's socket holds at least this many unread bytes. */
    LineSocket awaitUnread(int bytes) {
      KernelSockets.await(() -> KernelSockets.unreadBytes(socket.getPort(), socket.getLocalPort()) >= bytes);
      return this;
    }

    /** Waits until the proxy's socket has received this side's FIN or reset. */
    LineSocket awaitCloseReceived() {
      int ownPort = socket.getLocalPort();
      int proxyPort = socket.getPort();
      KernelSockets.await(() -> !KernelSockets.isEstablished(proxyPort, ownPort));
      return this;
    }

    /** Reads to the end of the connection, whether it is closed or reset. */
    void readToEnd() {
      try {
        while (readLine() != null) {
          continue;
        }
      } catch (IOException e) {
        assertNotNull(e, "a reset also ends the connection");
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  private int clientCount;
  private final Options options;
  private final Path configFile;
  private final Config config;
  private final AdjustableClock clock = new AdjustableClock();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final ServerSocket discovery = newListener();
  private final List<LineSocket> connections = new ArrayList<>();
  final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  final Proxy proxy;
  /** The scripted module; null if the options have a module of their own. */
  final ScriptedBalancer module;

  /** {@code script} returns the actions for each event; it runs on the proxy's event loop. */
  ProxyFixture(Function<Event, List<Action>> script) throws IOException {
    this(script, new Options());
  }

  /** {@code serviceSettings} is inserted into the settings of this kind of service and must end in a comma. */
  ProxyFixture(Function<Event, List<Action>> script, String serviceSettings) throws IOException {
    this(script, optionsWith(options -> options.serviceSettings = serviceSettings));
  }

  ProxyFixture(Function<Event, List<Action>> script, String serviceSettings, int maxSockets) throws IOException {
    this(script, optionsWith(options -> {
      options.serviceSettings = serviceSettings;
      options.maxSockets = maxSockets;
    }));
  }

  /** A proxy whose clients wait at most this many microseconds. */
  ProxyFixture(Function<Event, List<Action>> script, long longestDeadline) throws IOException {
    this(script, optionsWith(options -> options.longestDeadline = longestDeadline));
  }

  ProxyFixture(Function<Event, List<Action>> script, PrintStream log) throws IOException {
    this(script, optionsWith(options -> options.log = log));
  }

  /** A proxy that shares its clients' listening socket with another process. */
  ProxyFixture(Function<Event, List<Action>> script, ServerSocketChannel sharedListener) throws IOException {
    this(script, optionsWith(options -> options.sharedListener = sharedListener));
  }

  /** A proxy whose clients of class chat can resume. */
  ProxyFixture(Function<Event, List<Action>> script, ResumptionContext resumption) throws IOException {
    this(script, optionsWith(options -> options.resumption = resumption));
  }

  /** A fixture with customized options; {@code script} is ignored if the options have a module. */
  static ProxyFixture of(Function<Event, List<Action>> script, Consumer<Options> customize) throws IOException {
    return new ProxyFixture(script, optionsWith(customize));
  }

  private static Options optionsWith(Consumer<Options> customize) {
    Options options = new Options();
    customize.accept(options);
    return options;
  }

  private ProxyFixture(Function<Event, List<Action>> script, Options options) throws IOException {
    this.options = options;
    for (int i = 0; i < options.serverCount; i++) {
      servers.add(newListener());
    }
    configFile = Files.createTempFile("lemondeal", ".json");
    Files.writeString(configFile, configText(options.serviceSettings, options.maxSockets));
    module = options.module != null ? null : new ScriptedBalancer(event -> {
      events.add(event);
      return script.apply(event);
    });
    Map<String, String> environment = new HashMap<>(Map.of("GW_CONFIG", configFile.toString()));
    if (options.sharedListener != null) {
      environment.put("GW_ACCEPT_FD", "0");
      environment.put("TMPDIR", SHARED_FOLDER);
    }
    config = Config.read(environment);
    proxy = new Proxy(config, module != null ? module : new RecordingBalancer(options.module, events::add),
        new PlainLog(options.log), options.resumption, ListSource.PLATFORM, clock);
    proxy.start(options.sharedListener == null ? Listener.bind(config.listen()) : options.sharedListener);
  }

  private String configText(String serviceSettings, int maxSockets) {
    List<String> instances = new ArrayList<>();
    for (int i = 0; i < servers.size(); i++) {
      instances.add(instanceJson(i, "in_service"));
    }
    return withDefaultRules(options.editConfig.apply("""
        {"name":"n0","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0",
         "discovery":"127.0.0.1:%d","seed":"1",
         "limits":{"sockets":%d,"memory_mb":192},
         "known":{"generation":1,"reset":true,"instances":[%s]},
         "settings":{"azs":["a"],"flavors":["m"],"familyInfo":{%s "messageAim":[60000]},
           "permissions":{"dialTimeout":500000,"cancelling":true},
           "profiles":[{"name":"chat","semantics":"idempotent","aim":1000000,"hardLimit":%d}]}}
        """.formatted(discovery.getLocalPort(), maxSockets, String.join(",", instances), serviceSettings,
            options.longestDeadline)));
  }

  /** Adds default values of the rules to a configuration that has none. */
  static String withDefaultRules(String text) {
    return text.contains("\"rules\"") ? text : text.replace("\"settings\":{", "\"settings\":{\"rules\":{"
        + "\"answerSlack\":20000,\"drainGrace\":1000000,\"fallMultiple\":4,\"overloadFor\":2000000,"
        + "\"coldFrom\":0.35,\"warmWithin\":9000000},");
  }

  // ---- Clock and event loop -------------------------------------------------------------------

  /** Blocks the event loop until the pause is resumed; returns once it is blocked. */
  EventLoopPause pauseEventLoop() throws InterruptedException {
    EventLoopPause pause = new EventLoopPause();
    CountDownLatch paused = new CountDownLatch(1);
    proxy.executor().execute(() -> pause.blockUntilResumed(paused));
    assertTrue(paused.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the event loop was never paused");
    return pause;
  }

  /** Runs the task on the event loop; returns when it is done. */
  void runOnEventLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    proxy.executor().execute(() -> {
      try {
        task.run();
      } finally {
        done.countDown();
      }
    });
    assertTrue(done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the event loop does not run");
  }

  /** Returns once the event loop has run its queued tasks and has polled its sockets afterwards. */
  void awaitQueuedWork() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      runOnEventLoop(() -> { });
    }
  }

  /** Advances the proxy's clock; returns when all timers that expire have run. */
  void advanceClock(long micros) throws InterruptedException {
    runOnEventLoop(() -> {
      clock.offset += micros;
      TimerWheel wheel = (TimerWheel) proxy.timers();
      wheel.advance();
      // A timer before all others makes the event loop reschedule its own wake-up by the advanced clock.
      wheel.after(0, () -> { });
    });
    awaitQueuedWork();
  }

  /** Waits until at least this many connections are in the accept queue of the clients' listening socket. */
  void awaitBacklog(int connections) {
    int port = proxy.localAddress().getPort();
    KernelSockets.await(() -> KernelSockets.backlog(port) >= connections);
  }

  // ---- Servers, discovery and clients ---------------------------------------------------------

  /** The first server's entry in discovery's list. */
  String instanceJson(String lifecycle) {
    return instanceJson(0, lifecycle);
  }

  String instanceJson(int index, String lifecycle) {
    return "{\"instanceId\":\"" + serverId(index) + "\",\"hostPort\":\"127.0.0.1:" + servers.get(index).getLocalPort()
        + "\",\"zone\":\"a\",\"machineType\":\"m\",\"lifecycle\":\"" + lifecycle + "\"}";
  }

  /** The id of the server with this index, counted from 0. */
  String serverId(int index) {
    return "s-" + (index + 1);
  }

  /** Reloads the proxy with a configuration that names the other fixture's discovery. */
  void switchDiscoveryTo(ProxyFixture other) throws IOException {
    Files.writeString(configFile, configText("", 1024).replace(":" + discovery.getLocalPort(),
        ":" + other.discovery.getLocalPort()));
    proxy.reconfigure(config.reread(Map.of("GW_CONFIG", configFile.toString())));
  }

  private static ServerSocket newListener() throws IOException {
    ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    socket.setSoTimeout(TIMEOUT_MS);
    return socket;
  }

  LineSocket newClient() throws IOException {
    return connect(proxy.localAddress());
  }

  /** A connection to the admin address. */
  LineSocket newAdminClient() throws IOException {
    return connect(proxy.adminAddress());
  }

  private LineSocket connect(InetSocketAddress address) throws IOException {
    return track(new LineSocket(new Socket(address.getAddress(), address.getPort())));
  }

  /** Returns the value that the admin address reports under this name. */
  long metric(String name) throws IOException {
    LineSocket admin = newAdminClient().send("show-stat\r\n");
    for (String line = admin.readLine(); !line.equals("EOF"); line = admin.readLine()) {
      if (line.startsWith(name + "=")) {
        return Long.parseLong(line.substring(name.length() + 1));
      }
    }
    throw new AssertionError("no metric " + name);
  }

  /** A client that has sent an OPEN line with these fields. */
  LineSocket newClient(String values) throws IOException {
    return newClient().send(String.format("OPEN %016x 7f3a9c21e0b4d655 %s\r\n", ++clientCount, values));
  }

  /** Accepts the next connection to the first server. */
  LineSocket acceptAtServer() throws IOException {
    return acceptAtServer(0);
  }

  LineSocket acceptAtServer(int index) throws IOException {
    return track(new LineSocket(servers.get(index).accept()));
  }

  LineSocket acceptAtDiscovery() throws IOException {
    return track(new LineSocket(discovery.accept()));
  }

  Limits limits() {
    return config.limits();
  }

  /** Closes the server's listening socket: further connections are refused. */
  void stopServer() throws IOException {
    stopServer(0);
  }

  void stopServer(int index) throws IOException {
    servers.get(index).close();
  }

  private LineSocket track(LineSocket connection) {
    connections.add(connection);
    return connection;
  }

  /** Waits for the next event of this type; discards others. */
  <T extends Event> T awaitEvent(Class<T> type) throws InterruptedException {
    Event event;
    do {
      event = events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      assertNotNull(event, "no " + type.getSimpleName() + " came");
    } while (!type.isInstance(event));
    return type.cast(event);
  }

  @Override
  public void close() throws IOException {
    for (LineSocket connection : connections) {
      connection.close();
    }
    for (ServerSocket server : servers) {
      server.close();
    }
    discovery.close();
    proxy.close();
    Files.delete(configFile);
  }
}
