package lemondeal.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery as one proxy sees it, over HTTP at an address of its own, so that it can fail for this proxy alone. */
final class DiscoveryEndpoint implements AutoCloseable {
  /** How it answers. All but UP count as out of reach. */
  enum Mode { UP, DOWN, SILENT, SLOW, UNAVAILABLE, DRIBBLES }

  private static final int BACKLOG = 64;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 2_000;
  private static final long SLOW_ANSWER_MILLIS = 2_500;
  private static final long DRIBBLE_INTERVAL_MILLIS = 300;

  private final ServerListing listing;
  private final DrainChecker drainChecker;
  private final int proxy;
  private final int port;
  private final Set<Socket> openConnections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket socket;
  private volatile Mode mode = Mode.UP;
  /** Watches of an earlier epoch have fallen silent. */
  private volatile int watchEpoch;
  /** Counts the proxy's processes: what is still written to one that has ended tells the next one nothing. */
  private volatile int processNumber;

  DiscoveryEndpoint(ServerListing listing, DrainChecker drainChecker, int proxy) throws IOException {
    this.listing = listing;
    this.drainChecker = drainChecker;
    this.proxy = proxy;
    socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    port = socket.getLocalPort();
    accept(socket);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** From now on it answers so; a watch ends when it goes down. */
  synchronized void mode(Mode newMode) throws IOException {
    boolean wasDown = mode == Mode.DOWN;
    boolean wasUp = mode == Mode.UP;
    mode = newMode;
    if (newMode == Mode.DOWN && !wasDown) {
      socket.close();
      openConnections.forEach(DiscoveryEndpoint::reset);
    } else if (newMode != Mode.DOWN && wasDown) {
      socket = ListeningSockets.rebind(address(), BACKLOG);
      accept(socket);
    }
    if (!wasUp && !wasDown) {
      // A call or watch of before may be silent still.
      drainChecker.watchesStalled(proxy);
    }
    drainChecker.setReachable(proxy, newMode == Mode.UP);
  }

  /** All open watches fall silent and stay open; new calls are answered. */
  void stallWatches() {
    watchEpoch++;
    drainChecker.watchesStalled(proxy);
  }

  /** The proxy's process begins. */
  void processStarted() {
    processNumber++;
  }

  private void recordNotified(int toProcessNumber, ServerListing.Changes changes) {
    if (toProcessNumber == processNumber) {
      drainChecker.recordNotified(proxy, changes.entries());
    }
  }

  private void accept(ServerSocket listener) {
    Threads.start("discovery-accept", () -> {
      try {
        while (true) {
          Socket accepted = listener.accept();
          openConnections.add(accepted);
          Threads.start("discovery", () -> answer(accepted));
        }
      } catch (IOException e) {
        // Closed.
      }
    });
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  private void answer(Socket accepted) {
    int callerProcessNumber = processNumber;
    try (accepted) {
      String request = readRequest(accepted.getInputStream());
      if (request == null) {
        return;
      }
      switch (mode) {
        case SILENT -> {
          readRequest(accepted.getInputStream());
          return;
        }
        case UNAVAILABLE -> {
          write(accepted, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
          return;
        }
        case SLOW -> Threads.sleepMillis(SLOW_ANSWER_MILLIS);
        case DRIBBLES -> {
          dribble(accepted);
          return;
        }
        default -> { }
      }
      if (request.contains("stream=1")) {
        watch(accepted, callerProcessNumber, Long.parseLong(request.replaceAll("(?s).*index=(-?\\d+).*", "$1")));
      } else {
        ServerListing.Changes all = listing.currentList();
        String body = ServerListing.json(all, true, proxy);
        write(accepted, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
            + body);
        recordNotified(callerProcessNumber, all);
      }
    } catch (IOException | InterruptedException e) {
      // The proxy ended the call, or discovery went down.
    } finally {
      openConnections.remove(accepted);
    }
  }

  /** The request's head, or null at the end of the connection. */
  private static String readRequest(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      head.append((char) b);
      if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
        return head.toString();
      }
    }
    return null;
  }

  private static void write(Socket socket, String text) throws IOException {
    OutputStream out = socket.getOutputStream();
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  private static void writeChunk(Socket socket, String text) throws IOException {
    write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private void dribble(Socket accepted) throws IOException {
    for (char c : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".toCharArray()) {
      write(accepted, String.valueOf(c));
      Threads.sleepMillis(DRIBBLE_INTERVAL_MILLIS);
    }
  }

  /** What is written to a watch that the proxy has ended, or that its process has left, is told to nobody. */
  private static boolean isClosedByProxy(Socket accepted) throws IOException {
    accepted.setSoTimeout(1);
    try {
      return accepted.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      accepted.setSoTimeout(0);
    }
  }

  private void watch(Socket accepted, int callerProcessNumber, long sinceVersion) throws IOException, InterruptedException {
    int openedInEpoch = watchEpoch;
    write(accepted, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    ServerListing.Changes changes = sinceVersion <= 0 ? listing.currentList() : listing.changes(sinceVersion);
    boolean fullList = sinceVersion <= 0;
    long sentVersion = sinceVersion;
    while (!accepted.isClosed()) {
      if (isClosedByProxy(accepted)) {
        return;
      }
      if (openedInEpoch != watchEpoch || mode == Mode.SILENT) {
        readRequest(accepted.getInputStream());
        return;
      }
      if (fullList || !changes.entries().isEmpty()) {
        writeChunk(accepted, ServerListing.json(changes, fullList, proxy) + "\n");
        recordNotified(callerProcessNumber, changes);
        sentVersion = changes.version();
        fullList = false;
      } else {
        writeChunk(accepted, "\n");
      }
      changes = listing.awaitChanges(sentVersion, HEARTBEAT_INTERVAL_MILLIS);
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
    openConnections.forEach(DiscoveryEndpoint::reset);
  }
}
