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
 * A proxy on loopback with servers, a discovery and a module that does as the test says. To have two events cross in a
 * given order: {@link #hold} the I/O thread, put both into the kernel, see that they are there, let the thread go on.
 */
final class ProxyFixture implements AutoCloseable {
  private static final int TIMEOUT_MS = 10_000;
  static final String SERVER = "s-1";

  /** What a test may have otherwise than usual. */
  static final class Options {
    /** Goes into the settings of this kind of service, with a comma behind it. */
    String serviceSettings = "";
    int maxSockets = 1024;
    int serverCount = 1;
    /** Clients wait so many microseconds at the longest. */
    long longestDeadline = 2_000_000;
    PrintStream log = System.err;
    /** The clients' listening socket where the proxy is to share it. */
    ServerSocketChannel sharedListener;
    /** Not null where clients of class chat can resume. */
    ResumptionContext resumption;
    /** Decides in place of the script; it is told that lists are pushed unless {@link #config} says otherwise. */
    Balancer module;
    /** Changes the text of the configuration. */
    UnaryOperator<String> editConfig = text -> text;
  }

  /** The proxy's I/O thread, standing still. */
  static final class EventLoopPause implements AutoCloseable {
    private final CountDownLatch resumed = new CountDownLatch(1);

    private void blockUntilResumed(CountDownLatch paused) {
      paused.countDown();
      try {
        assertTrue(resumed.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "never let go");
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

  /** The system's time, and what the test adds to it. */
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

  /** Tells the test what its module hears, and lets that one decide. */
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

  /** A blocking socket that speaks lines. */
  static final class LineSocket implements AutoCloseable {
    final Socket socket;

    LineSocket(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(TIMEOUT_MS);
      // Pieces go out at once, as they are sent.
      socket.setTcpNoDelay(true);
    }

    LineSocket send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** The next line without its end, or null at the end of the connection. */
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

    /** Ends the connection with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Ends this side's sending; the other direction goes on. */
    LineSocket endSending() throws IOException {
      socket.shutdownOutput();
      return this;
    }

    /** Waits until so many bytes lie unread in the proxy's socket. */
    LineSocket awaitUnread(int bytes) {
      KernelSockets.await(() -> KernelSockets.unreadBytes(socket.getPort(), socket.getLocalPort()) >= bytes);
      return this;
    }

    /** Waits until this peer's end has reached the proxy's socket: its FIN, or a reset. */
    LineSocket awaitCloseReceived() {
      int ownPort = socket.getLocalPort();
      int proxyPort = socket.getPort();
      KernelSockets.await(() -> !KernelSockets.isEstablished(proxyPort, ownPort));
      return this;
    }

    /** Reads on to the end of the connection, however it ends. */
    void readToEnd() {
      try {
        while (readLine() != null) {
          continue;
        }
      } catch (IOException e) {
        assertNotNull(e, "a reset is an end too");
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
  /** The script; null where another module decides. */
  final ScriptedBalancer module;

  /** {@code script} answers each event; it runs on the proxy's I/O thread. */
  ProxyFixture(Function<Event, List<Action>> script) throws IOException {
    this(script, new Options());
  }

  /** {@code family} goes into the settings of this kind of service, with a comma behind it. */
  ProxyFixture(Function<Event, List<Action>> script, String serviceSettings) throws IOException {
    this(script, optionsWith(options -> options.serviceSettings = serviceSettings));
  }

  ProxyFixture(Function<Event, List<Action>> script, String serviceSettings, int maxSockets) throws IOException {
    this(script, optionsWith(options -> {
      options.serviceSettings = serviceSettings;
      options.maxSockets = maxSockets;
    }));
  }

  /** A proxy whose clients wait so many microseconds at the longest. */
  ProxyFixture(Function<Event, List<Action>> script, long longestDeadline) throws IOException {
    this(script, optionsWith(options -> options.longestDeadline = longestDeadline));
  }

  ProxyFixture(Function<Event, List<Action>> script, PrintStream log) throws IOException {
    this(script, optionsWith(options -> options.log = log));
  }

  /** A proxy that shares its clients' listening socket. */
  ProxyFixture(Function<Event, List<Action>> script, ServerSocketChannel sharedListener) throws IOException {
    this(script, optionsWith(options -> options.sharedListener = sharedListener));
  }

  /** A proxy whose clients of class chat can resume. */
  ProxyFixture(Function<Event, List<Action>> script, ResumptionContext resumption) throws IOException {
    this(script, optionsWith(options -> options.resumption = resumption));
  }

  /** A site with what the test wants otherwise; {@code script} counts for nothing where the setup has a module. */
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
        """.formatted(discovery.getLocalPort(), maxSockets, String.join(",", instances), serviceSettings, options.longestDeadline)));
  }

  /** The configuration with the figures of the rules, where a test has given none of its own. */
  static String withDefaultRules(String text) {
    return text.contains("\"rules\"") ? text : text.replace("\"settings\":{", "\"settings\":{\"rules\":{"
        + "\"answerSlack\":20000,\"drainGrace\":1000000,\"fallMultiple\":4,\"overloadFor\":2000000,"
        + "\"coldFrom\":0.35,\"warmWithin\":9000000},");
  }

  // ---- The proxy's time and turns -------------------------------------------------------------

  /** Returns once the I/O thread stands still, until it is let go. */
  EventLoopPause pauseEventLoop() throws InterruptedException {
    EventLoopPause pause = new EventLoopPause();
    CountDownLatch paused = new CountDownLatch(1);
    proxy.executor().execute(() -> pause.blockUntilResumed(paused));
    assertTrue(paused.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the I/O thread never came to stand");
    return pause;
  }

  /** Runs the task on the I/O thread; returns when it is done. */
  void runOnEventLoop(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    proxy.executor().execute(() -> {
      try {
        task.run();
      } finally {
        done.countDown();
      }
    });
    assertTrue(done.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "the I/O thread does not run");
  }

  /** Returns once the I/O thread has done what was queued, and looked at its sockets since. */
  void awaitQueuedWork() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      runOnEventLoop(() -> { });
    }
  }

  /** Moves the proxy's clock on; returns when all deadlines that have come have run. */
  void advanceClock(long micros) throws InterruptedException {
    runOnEventLoop(() -> {
      clock.offset += micros;
      TimerWheel wheel = (TimerWheel) proxy.timers();
      wheel.advance();
      // A deadline before all others: the timer of the thread's own is set anew by it, to the clock as it is now.
      wheel.after(0, () -> { });
    });
    awaitQueuedWork();
  }

  /** Waits until so many connections wait in the clients' listen queue. */
  void awaitBacklog(int connections) {
    int port = proxy.localAddress().getPort();
    KernelSockets.await(() -> KernelSockets.backlog(port) >= connections);
  }

  // ---- Servers and discovery ------------------------------------------------------------------

  /** The first server as discovery would list it. */
  String instanceJson(String lifecycle) {
    return instanceJson(0, lifecycle);
  }

  String instanceJson(int index, String lifecycle) {
    return "{\"instanceId\":\"" + serverId(index) + "\",\"hostPort\":\"127.0.0.1:" + servers.get(index).getLocalPort()
        + "\",\"zone\":\"a\",\"machineType\":\"m\",\"lifecycle\":\"" + lifecycle + "\"}";
  }

  /** The id of a server, counted from 0. */
  String serverId(int index) {
    return "s-" + (index + 1);
  }

  /** Has the proxy take over a configuration that names the other site's discovery. */
  void switchDiscoveryTo(ProxyFixture other) throws IOException {
    Files.writeString(configFile, configText("", 1024).replace(":" + discovery.getLocalPort(), ":" + other.discovery.getLocalPort()));
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

  /** A connection to the second address. */
  LineSocket newAdminClient() throws IOException {
    return connect(proxy.adminAddress());
  }

  private LineSocket connect(InetSocketAddress address) throws IOException {
    return track(new LineSocket(new Socket(address.getAddress(), address.getPort())));
  }

  /** What the second address says under this name. */
  long metric(String name) throws IOException {
    LineSocket admin = newAdminClient().send("show-stat\r\n");
    for (String line = admin.readLine(); !line.equals("EOF"); line = admin.readLine()) {
      if (line.startsWith(name + "=")) {
        return Long.parseLong(line.substring(name.length() + 1));
      }
    }
    throw new AssertionError("no figure " + name);
  }

  /** A client that has sent its first line. */
  LineSocket newClient(String values) throws IOException {
    return newClient().send(String.format("OPEN %016x 7f3a9c21e0b4d655 %s\r\n", ++clientCount, values));
  }

  /** The next connection that comes to the server, or to discovery. */
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

  /** From now on the server's address refuses. */
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

  /** Waits for the next event of this kind; passes over others. */
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
