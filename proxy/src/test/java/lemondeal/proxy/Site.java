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
import lemondeal.resume.Resumption;

/**
 * A proxy on loopback with servers, a discovery and a module that does as the test says. To have two events cross in a
 * given order: {@link #hold} the I/O thread, put both into the kernel, see that they are there, let the thread go on.
 */
final class Site implements AutoCloseable {
  private static final int PATIENCE_MS = 10_000;
  static final String SERVER = "s-1";

  /** What a test may have otherwise than usual. */
  static final class Setup {
    /** Goes into the settings of this kind of service, with a comma behind it. */
    String family = "";
    int sockets = 1024;
    int servers = 1;
    /** Clients wait so many microseconds at the longest. */
    long longestDeadline = 2_000_000;
    PrintStream log = System.err;
    /** The clients' listening socket where the proxy is to share it. */
    ServerSocketChannel shared;
    /** Not null where clients of class chat can resume. */
    Resumption resumption;
    /** Decides in place of the script; it is told that lists are pushed unless {@link #config} says otherwise. */
    Balancer module;
    /** Changes the text of the configuration. */
    UnaryOperator<String> config = text -> text;
  }

  /** The proxy's I/O thread, standing still. */
  static final class Held implements AutoCloseable {
    private final CountDownLatch free = new CountDownLatch(1);

    private void stand(CountDownLatch still) {
      still.countDown();
      try {
        assertTrue(free.await(PATIENCE_MS, TimeUnit.MILLISECONDS), "never let go");
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    void release() {
      free.countDown();
    }

    @Override
    public void close() {
      release();
    }
  }

  /** The system's time, and what the test adds to it. */
  private static final class MovedClock extends Clock {
    private volatile long added;

    @Override
    long now() {
      return super.now() + added;
    }

    @Override
    long wallTime() {
      return super.wallTime() + added;
    }
  }

  /** Tells the test what its module hears, and lets that one decide. */
  private record Recording(Balancer module, Consumer<Event> heard) implements Balancer {
    @Override
    public List<Action> on(long now, Event event) {
      heard.accept(event);
      return module.on(now, event);
    }

    @Override
    public ServerSummary serverSummary(long now) {
      return module.serverSummary(now);
    }
  }

  /** A blocking socket that speaks lines. */
  static final class Peer implements AutoCloseable {
    final Socket socket;

    Peer(Socket socket) throws IOException {
      this.socket = socket;
      socket.setSoTimeout(PATIENCE_MS);
      // Pieces go out at once, as they are sent.
      socket.setTcpNoDelay(true);
    }

    Peer send(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      return this;
    }

    /** The next line without its end, or null at the end of the connection. */
    String line() throws IOException {
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
    Peer endSending() throws IOException {
      socket.shutdownOutput();
      return this;
    }

    /** Waits until so many bytes lie unread in the proxy's socket. */
    Peer awaitUnread(int bytes) {
      KernelSockets.await(() -> KernelSockets.unread(socket.getPort(), socket.getLocalPort()) >= bytes);
      return this;
    }

    /** Waits until this peer's end has reached the proxy's socket: its FIN, or a reset. */
    Peer awaitEndQueued() {
      int here = socket.getLocalPort();
      int there = socket.getPort();
      KernelSockets.await(() -> !KernelSockets.isOpen(there, here));
      return this;
    }

    /** Reads on to the end of the connection, however it ends. */
    void awaitEnd() {
      try {
        while (line() != null) {
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

  private int clients;
  private final Setup setup;
  private final Path file;
  private final Config config;
  private final MovedClock clock = new MovedClock();
  private final List<ServerSocket> servers = new ArrayList<>();
  private final ServerSocket discovery = listener();
  private final List<Peer> peers = new ArrayList<>();
  final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  final Proxy proxy;
  /** The script; null where another module decides. */
  final ScriptedBalancer module;

  /** {@code script} answers each event; it runs on the proxy's I/O thread. */
  Site(Function<Event, List<Action>> script) throws IOException {
    this(script, new Setup());
  }

  /** {@code family} goes into the settings of this kind of service, with a comma behind it. */
  Site(Function<Event, List<Action>> script, String family) throws IOException {
    this(script, changed(setup -> setup.family = family));
  }

  Site(Function<Event, List<Action>> script, String family, int sockets) throws IOException {
    this(script, changed(setup -> {
      setup.family = family;
      setup.sockets = sockets;
    }));
  }

  /** A proxy whose clients wait so many microseconds at the longest. */
  Site(Function<Event, List<Action>> script, long longestDeadline) throws IOException {
    this(script, changed(setup -> setup.longestDeadline = longestDeadline));
  }

  Site(Function<Event, List<Action>> script, PrintStream log) throws IOException {
    this(script, changed(setup -> setup.log = log));
  }

  /** A proxy that shares its clients' listening socket. */
  Site(Function<Event, List<Action>> script, ServerSocketChannel shared) throws IOException {
    this(script, changed(setup -> setup.shared = shared));
  }

  /** A proxy whose clients of class chat can resume. */
  Site(Function<Event, List<Action>> script, Resumption resumption) throws IOException {
    this(script, changed(setup -> setup.resumption = resumption));
  }

  /** A site with what the test wants otherwise; {@code script} counts for nothing where the setup has a module. */
  static Site of(Function<Event, List<Action>> script, Consumer<Setup> change) throws IOException {
    return new Site(script, changed(change));
  }

  private static Setup changed(Consumer<Setup> change) {
    Setup setup = new Setup();
    change.accept(setup);
    return setup;
  }

  private Site(Function<Event, List<Action>> script, Setup setup) throws IOException {
    this.setup = setup;
    for (int i = 0; i < setup.servers; i++) {
      servers.add(listener());
    }
    file = Files.createTempFile("lemondeal", ".json");
    Files.writeString(file, config(setup.family, setup.sockets));
    module = setup.module != null ? null : new ScriptedBalancer(event -> {
      events.add(event);
      return script.apply(event);
    });
    Map<String, String> environment = new HashMap<>(Map.of("GW_CONFIG", file.toString()));
    if (setup.shared != null) {
      environment.put("GW_ACCEPT_FD", "0");
    }
    config = Config.read(environment);
    proxy = new Proxy(config, module != null ? module : new Recording(setup.module, events::add),
        new PlainLog(setup.log), setup.resumption, ListSource.PLATFORM, clock);
    proxy.start(setup.shared == null ? Listener.bind(config.listen()) : setup.shared);
  }

  private String config(String family, int sockets) {
    List<String> instances = new ArrayList<>();
    for (int i = 0; i < servers.size(); i++) {
      instances.add(instance(i, "in_service"));
    }
    return withRules(setup.config.apply("""
        {"name":"n0","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0",
         "discovery":"127.0.0.1:%d","seed":"1",
         "limits":{"sockets":%d,"memory_mb":192},
         "known":{"generation":1,"reset":true,"instances":[%s]},
         "settings":{"azs":["a"],"flavors":["m"],"familyInfo":{%s "messageAim":[60000]},
           "permissions":{"dialTimeout":500000,"cancelling":true},
           "profiles":[{"name":"chat","semantics":"idempotent","aim":1000000,"hardLimit":%d}]}}
        """.formatted(discovery.getLocalPort(), sockets, String.join(",", instances), family, setup.longestDeadline)));
  }

  /** The configuration with the figures of the rules, where a test has given none of its own. */
  static String withRules(String text) {
    return text.contains("\"rules\"") ? text : text.replace("\"settings\":{", "\"settings\":{\"rules\":{"
        + "\"answerSlack\":20000,\"drainGrace\":1000000,\"fallMultiple\":4,\"overloadFor\":2000000,"
        + "\"coldFrom\":0.35,\"warmWithin\":9000000},");
  }

  // ---- The proxy's time and turns -------------------------------------------------------------

  /** Returns once the I/O thread stands still, until it is let go. */
  Held hold() throws InterruptedException {
    Held held = new Held();
    CountDownLatch still = new CountDownLatch(1);
    proxy.executor().execute(() -> held.stand(still));
    assertTrue(still.await(PATIENCE_MS, TimeUnit.MILLISECONDS), "the I/O thread never came to stand");
    return held;
  }

  /** Runs the task on the I/O thread; returns when it is done. */
  void onThread(Runnable task) throws InterruptedException {
    CountDownLatch done = new CountDownLatch(1);
    proxy.executor().execute(() -> {
      try {
        task.run();
      } finally {
        done.countDown();
      }
    });
    assertTrue(done.await(PATIENCE_MS, TimeUnit.MILLISECONDS), "the I/O thread does not run");
  }

  /** Returns once the I/O thread has done what was queued, and looked at its sockets since. */
  void settle() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      onThread(() -> { });
    }
  }

  /** Moves the proxy's clock on; returns when all deadlines that have come have run. */
  void jump(long micros) throws InterruptedException {
    onThread(() -> {
      clock.added += micros;
      TimerWheel wheel = (TimerWheel) proxy.timers();
      wheel.advance();
      // A deadline before all others: the timer of the thread's own is set anew by it, to the clock as it is now.
      wheel.after(0, () -> { });
    });
    settle();
  }

  /** Waits until so many connections wait in the clients' listen queue. */
  void awaitQueued(int connections) {
    int port = proxy.localAddress().getPort();
    KernelSockets.await(() -> KernelSockets.queued(port) >= connections);
  }

  // ---- Servers and discovery ------------------------------------------------------------------

  /** The first server as discovery would list it. */
  String instance(String lifecycle) {
    return instance(0, lifecycle);
  }

  String instance(int n, String lifecycle) {
    return "{\"instanceId\":\"" + server(n) + "\",\"hostPort\":\"127.0.0.1:" + servers.get(n).getLocalPort()
        + "\",\"zone\":\"a\",\"machineType\":\"m\",\"lifecycle\":\"" + lifecycle + "\"}";
  }

  /** The id of a server, counted from 0. */
  String server(int n) {
    return "s-" + (n + 1);
  }

  /** Has the proxy take over a configuration that names the other site's discovery. */
  void moveDiscovery(Site other) throws IOException {
    Files.writeString(file, config("", 1024).replace(":" + discovery.getLocalPort(), ":" + other.discovery.getLocalPort()));
    proxy.reconfigure(config.reread(Map.of("GW_CONFIG", file.toString())));
  }

  private static ServerSocket listener() throws IOException {
    ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    socket.setSoTimeout(PATIENCE_MS);
    return socket;
  }

  Peer client() throws IOException {
    return connect(proxy.localAddress());
  }

  /** A connection to the second address. */
  Peer caller() throws IOException {
    return connect(proxy.adminAddress());
  }

  private Peer connect(InetSocketAddress address) throws IOException {
    return keep(new Peer(new Socket(address.getAddress(), address.getPort())));
  }

  /** What the second address says under this name. */
  long figure(String name) throws IOException {
    Peer caller = caller().send("show-stat\r\n");
    for (String line = caller.line(); !line.equals("EOF"); line = caller.line()) {
      if (line.startsWith(name + "=")) {
        return Long.parseLong(line.substring(name.length() + 1));
      }
    }
    throw new AssertionError("no figure " + name);
  }

  /** A client that has sent its first line. */
  Peer client(String values) throws IOException {
    return client().send(String.format("OPEN %016x 7f3a9c21e0b4d655 %s\r\n", ++clients, values));
  }

  /** The next connection that comes to the server, or to discovery. */
  Peer atServer() throws IOException {
    return atServer(0);
  }

  Peer atServer(int n) throws IOException {
    return keep(new Peer(servers.get(n).accept()));
  }

  Peer atDiscovery() throws IOException {
    return keep(new Peer(discovery.accept()));
  }

  Limits limits() {
    return config.limits();
  }

  /** From now on the server's address refuses. */
  void stopServer() throws IOException {
    stopServer(0);
  }

  void stopServer(int n) throws IOException {
    servers.get(n).close();
  }

  private Peer keep(Peer peer) {
    peers.add(peer);
    return peer;
  }

  /** Waits for the next event of this kind; passes over others. */
  <T extends Event> T await(Class<T> kind) throws InterruptedException {
    Event event;
    do {
      event = events.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
      assertNotNull(event, "no " + kind.getSimpleName() + " came");
    } while (!kind.isInstance(event));
    return kind.cast(event);
  }

  @Override
  public void close() throws IOException {
    for (Peer peer : peers) {
      peer.close();
    }
    for (ServerSocket server : servers) {
      server.close();
    }
    discovery.close();
    proxy.close();
    Files.delete(file);
  }
}
