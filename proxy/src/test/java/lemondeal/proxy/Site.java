package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.Scripted;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.log.PlainLog;
import lemondeal.net.Listener;
import lemondeal.resume.Resumption;

/** A proxy on loopback with one server, a discovery and a module that does as the test says. */
final class Site implements AutoCloseable {
  private static final int PATIENCE_MS = 10_000;
  static final String SERVER = "s-1";

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
  private final long longestDeadline;
  private final Path file;
  private final Config config;
  private final ServerSocket server = listener();
  private final ServerSocket discovery = listener();
  private final List<Peer> peers = new ArrayList<>();
  final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  final Proxy proxy;
  final Scripted module;

  /** {@code script} answers each event; it runs on the proxy's I/O thread. */
  Site(Function<Event, List<Action>> script) throws IOException {
    this(script, "", 1024);
  }

  /** {@code family} goes into the settings of this kind of service, with a comma behind it. */
  Site(Function<Event, List<Action>> script, String family) throws IOException {
    this(script, family, 1024);
  }

  Site(Function<Event, List<Action>> script, String family, int sockets) throws IOException {
    this(script, family, sockets, System.err, null);
  }

  /** A proxy whose clients wait so many microseconds at the longest. */
  Site(Function<Event, List<Action>> script, long longestDeadline) throws IOException {
    this(script, "", 1024, System.err, null, null, longestDeadline);
  }

  Site(Function<Event, List<Action>> script, PrintStream log) throws IOException {
    this(script, "", 1024, log, null);
  }

  /** A proxy that shares its clients' listening socket. */
  Site(Function<Event, List<Action>> script, ServerSocketChannel shared) throws IOException {
    this(script, "", 1024, System.err, shared);
  }

  /** A proxy whose clients of class chat can resume. */
  Site(Function<Event, List<Action>> script, Resumption resumption) throws IOException {
    this(script, "", 1024, System.err, null, resumption);
  }

  private Site(Function<Event, List<Action>> script, String family, int sockets, PrintStream log,
      ServerSocketChannel shared) throws IOException {
    this(script, family, sockets, log, shared, null);
  }

  private Site(Function<Event, List<Action>> script, String family, int sockets, PrintStream log,
      ServerSocketChannel shared, Resumption resumption) throws IOException {
    this(script, family, sockets, log, shared, resumption, 2_000_000);
  }

  private Site(Function<Event, List<Action>> script, String family, int sockets, PrintStream log,
      ServerSocketChannel shared, Resumption resumption, long longestDeadline) throws IOException {
    this.longestDeadline = longestDeadline;
    file = Files.createTempFile("lemondeal", ".json");
    Files.writeString(file, config(family, sockets));
    module = new Scripted(event -> {
      events.add(event);
      return script.apply(event);
    });
    Map<String, String> environment = new HashMap<>(Map.of("GW_CONFIG", file.toString()));
    if (shared != null) {
      environment.put("GW_ACCEPT_FD", "0");
    }
    config = Config.read(environment);
    proxy = new Proxy(config, module, new PlainLog(log), resumption);
    proxy.start(shared == null ? Listener.bind(config.listen()) : shared);
  }

  private String config(String family, int sockets) {
    return """
        {"name":"n0","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0",
         "discovery":"127.0.0.1:%d","seed":"1",
         "limits":{"sockets":%d,"memory_mb":192},
         "known":{"generation":1,"reset":true,"instances":[%s]},
         "settings":{"azs":["a"],"flavors":["m"],"familyInfo":{%s "messageAim":[60000]},
           "permissions":{"dialTimeout":500000,"cancelling":true},
           "profiles":[{"name":"chat","semantics":"idempotent","aim":1000000,"hardLimit":%d}]}}
        """.formatted(discovery.getLocalPort(), sockets, instance("in_service"), family, longestDeadline);
  }

  /** The site's server as discovery would list it. */
  String instance(String lifecycle) {
    return "{\"instanceId\":\"" + SERVER + "\",\"hostPort\":\"127.0.0.1:" + server.getLocalPort()
        + "\",\"zone\":\"a\",\"machineType\":\"m\",\"lifecycle\":\"" + lifecycle + "\"}";
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
    return keep(new Peer(server.accept()));
  }

  Peer atDiscovery() throws IOException {
    return keep(new Peer(discovery.accept()));
  }

  Limits limits() {
    return config.limits();
  }

  /** From now on the server's address refuses. */
  void stopServer() throws IOException {
    server.close();
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
    server.close();
    discovery.close();
    proxy.close();
    Files.delete(file);
  }
}
