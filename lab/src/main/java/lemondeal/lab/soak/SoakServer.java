package lemondeal.lab.soak;

import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lemondeal.lab.LineConnection;
import lemondeal.lab.site.NetworkConditions;
import lemondeal.lab.site.Relay;

/**
 * A stand-in server. It listens on all addresses and gives each proxy a different loopback address, which identifies
 * the proxy that a connection comes from.
 */
final class SoakServer implements AutoCloseable {
  private static final int BACKLOG = 512;
  private static final int LOAD_REPORT_ONE_IN = 4;
  /** Under half of the message latency target: proxies avoid servers that report more, and nothing would be served. */
  private static final int MAX_DELAY_MILLIS = 400;
  private static final int MAX_LOAD = 40_000;
  private static final int OVERLONG_LINE_BYTES = 16 * 1024;
  /** Prefix of the addresses that identify proxies: 127.7.0.n. */
  private static final String PROXY_NETWORK = "127.7.0.";
  private static final int LAST_OCTET = 3;

  private final ServerIdentity identity;
  private final RuleChecker checker;
  private final DrainChecker drainChecker;
  private final SoakConfig.LoadReports loadReports;
  private final AtomicInteger lastReceiptNumber = new AtomicInteger();
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final int port;
  /** The relays between the proxies and this server, by the proxy's number; empty if proxies connect directly. */
  private final List<Relay> relays = new ArrayList<>();
  private volatile ServerSocket socket;
  private volatile ServerMode mode = ServerMode.NORMAL;
  private volatile boolean draining;

  /** One connection; its attempt is null until a request line has been received. */
  private record Connection(LineConnection lines, AttemptHolder attemptHolder) {}

  private static final class AttemptHolder {
    volatile Attempt attempt;
  }

  /** Opens the server; {@code relayCount} is the number of proxies that reach it through a relay, 0 for none. */
  SoakServer(ServerIdentity identity, RuleChecker checker, DrainChecker drainChecker, int relayCount,
      SoakConfig.LoadReports loadReports) throws IOException {
    this.loadReports = loadReports;
    this.identity = identity;
    this.checker = checker;
    this.drainChecker = drainChecker;
    socket = new ServerSocket(0, BACKLOG);
    port = socket.getLocalPort();
    accept(socket);
    for (int proxy = 0; proxy < relayCount; proxy++) {
      relays.add(new Relay(directAddressFor(proxy), port + proxy));
    }
  }

  ServerIdentity identity() {
    return identity;
  }

  /** Returns the address at which a proxy, counted from 0, reaches this server. */
  InetSocketAddress addressFor(int proxy) {
    return relays.isEmpty() ? directAddressFor(proxy) : relays.get(proxy).address();
  }

  /** Sets the condition of the network to all proxies; returns false if there are no relays. */
  boolean setNetworkCondition(NetworkConditions condition) {
    relays.forEach(relay -> relay.setConditions(condition));
    return !relays.isEmpty();
  }

  private InetSocketAddress directAddressFor(int proxy) {
    return new InetSocketAddress(PROXY_NETWORK + (proxy + 1), port);
  }

  private static int proxyNumber(InetAddress local) {
    byte[] octets = ((Inet4Address) local).getAddress();
    return octets[LAST_OCTET] - 1;
  }

  private void accept(ServerSocket listener) {
    Threads.start("server-accept", () -> {
      try {
        while (true) {
          Socket accepted = listener.accept();
          Threads.start("server", () -> serve(accepted));
        }
      } catch (IOException e) {
        // The listening socket was closed.
      }
    });
  }

  void mode(ServerMode newMode) {
    mode = newMode;
    if (newMode == ServerMode.FROZEN) {
      connections.forEach(connection -> {
        if (connection.attemptHolder.attempt != null) {
          connection.attemptHolder.attempt.markAbandoned();
        }
      });
    }
  }

  ServerMode mode() {
    return mode;
  }

  /** Starts draining: the server refuses new requests; {@link #moveClients} later moves its clients away. */
  void drain() {
    draining = true;
  }

  /** Simulates a crash of the process: resets all connections and refuses new ones. */
  void crash() throws IOException {
    socket.close();
    connections.forEach(connection -> {
      if (connection.attemptHolder.attempt != null) {
        connection.attemptHolder.attempt.markAbandoned();
      }
      connection.lines.reset();
    });
  }

  /** Simulates a restart of the process at the same address, without any earlier state. */
  void restart() throws IOException {
    mode = ServerMode.NORMAL;
    draining = false;
    socket = ListeningSockets.rebind(new InetSocketAddress(port), BACKLOG);
    accept(socket);
  }

  /** Sends MOVE to all clients, as a server does shortly before it stops. */
  void moveClients() {
    for (Connection connection : connections) {
      Attempt attempt = connection.attemptHolder.attempt;
      if (attempt != null && attempt.receipt != null) {
        try {
          attempt.markAbandoned();
          connection.lines.writeLines("MOVE");
          connection.lines.shutdownOutput();
        } catch (IOException e) {
          // The connection has ended already.
        }
      }
    }
  }

  private void serve(Socket accepted) {
    Connection connection = null;
    try (LineConnection lines = new LineConnection(accepted)) {
      connection = new Connection(lines, new AttemptHolder());
      connections.add(connection);
      String line = lines.readLine();
      while ("PING".equals(line) || "STATS".equals(line)) {
        if (!answerProbe(lines, line)) {
          return;
        }
        line = lines.readLine();
      }
      if (line != null && line.startsWith("OPEN ")) {
        handleOpen(connection, line, proxyNumber(accepted.getLocalAddress()));
      }
    } catch (IOException e) {
      // The proxy closed the connection.
    } finally {
      if (connection != null) {
        connections.remove(connection);
        if (connection.attemptHolder.attempt != null) {
          connection.attemptHolder.attempt.markEnded();
        }
      }
    }
  }

  /** Returns false if the connection is to be closed after the answer. */
  private boolean answerProbe(LineConnection lines, String line) throws IOException {
    switch (mode) {
      case HANGS, FROZEN, HALF_ANSWER -> readToEnd(lines);
      case ERRORS -> lines.writeLines("ERR");
      case RESETS -> lines.reset();
      case SPOILT -> lines.writeLines("what?");
      default -> lines.writeLines("PONG"
          + (line.equals("STATS") ? " served_ps=1,inflight=" + connections.size() + ",x0=0.1" : ""));
    }
    return mode != ServerMode.CLOSES_IDLE;
  }

  private static void readToEnd(LineConnection lines) throws IOException {
    while (lines.readLine() != null) {
      continue;
    }
  }

  private void handleOpen(Connection connection, String line, int proxy) throws IOException {
    Attempt attempt = checker.recordAttempt(line.split(" ")[1], identity, proxy, !relays.isEmpty());
    if (attempt == null) {
      return;
    }
    connection.attemptHolder.attempt = attempt;
    if (relays.isEmpty()) {
      drainChecker.checkReceived(identity.id(), proxy);
    }
    LineConnection lines = connection.lines;
    if (draining || mode == ServerMode.FULL) {
      attempt.mayHaveRun = false;
      attempt.markAbandoned();
      lines.writeLines("BUSY 100");
      return;
    }
    switch (mode) {
      case HANGS, FROZEN -> readToEnd(lines);
      case ERRORS -> lines.writeLines("ERR");
      case RESETS -> lines.reset();
      case ENDS -> lines.shutdownOutput();
      case HALF_ANSWER -> {
        lines.writeRaw("UP half");
        readToEnd(lines);
      }
      case SPOILT -> sendMalformedAnswer(lines);
      case SLOW -> serve(lines, attempt, 100 + ThreadLocalRandom.current().nextInt(400));
      default -> serve(lines, attempt, ThreadLocalRandom.current().nextInt(10));
    }
  }

  private void sendMalformedAnswer(LineConnection lines) throws IOException {
    switch (ThreadLocalRandom.current().nextInt(5)) {
      case 0 -> lines.writeLines("UP");
      case 1 -> lines.writeRaw("x".repeat(OVERLONG_LINE_BYTES));
      case 2 -> lines.writeRaw("\u0000\u0001\r\n\r\n");
      case 3 -> lines.writeLines("PONG", "what?");
      default -> lines.writeRaw("UP");
    }
    readToEnd(lines);
  }

  private void serve(LineConnection lines, Attempt attempt, long setupMillis) throws IOException {
    // Nothing is read during the setup, so a close by the proxy goes unnoticed.
    attempt.closeDetectable = false;
    Threads.sleepMillis(setupMillis);
    attempt.closeDetectable = !attempt.relayed;
    if (mode == ServerMode.FROZEN) {
      attempt.markAbandoned();
      readToEnd(lines);
      return;
    }
    attempt.receipt = identity.id() + "-" + lastReceiptNumber.incrementAndGet();
    lines.writeLines("UP " + attempt.receipt);
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (mode != ServerMode.FROZEN && attempt.abandonedAt == 0) {
        maybeSendLoadReport(lines);
        lines.writeLines("ECHO " + TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + " " + line);
      } else {
        attempt.markAbandoned();
      }
    }
  }

  /** Occasionally sends a LOAD line before the answer, as configured: a load, or a delay in milliseconds. */
  private void maybeSendLoadReport(LineConnection lines) throws IOException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    if (loadReports == SoakConfig.LoadReports.NOTHING || random.nextInt(LOAD_REPORT_ONE_IN) != 0) {
      return;
    }
    boolean delay = loadReports == SoakConfig.LoadReports.DELAYS
        || (loadReports == SoakConfig.LoadReports.BOTH && random.nextBoolean());
    lines.writeLines("LOAD " + (delay ? random.nextInt(MAX_DELAY_MILLIS) : random.nextInt(MAX_LOAD)));
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
    connections.forEach(connection -> connection.lines.reset());
    relays.forEach(Relay::close);
  }
}
