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

/** Discovery for one proxy: an HTTP server on a separate port, so that discovery can fail for this proxy alone. */
final class DiscoveryEndpoint implements AutoCloseable {
  /** How it answers. In every mode but UP, discovery counts as unreachable. */
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
  /** Watches that were opened in an earlier epoch send nothing any more. */
  private volatile int watchEpoch;
  /** Number of the proxy's current process: data written to an earlier process does not notify the current one. */
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

  /** Sets the mode. DOWN also closes all open watches. */
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
      // A request or watch opened in the previous mode may still receive nothing.
      drainChecker.watchesStalled(proxy);
    }
    drainChecker.setReachable(proxy, newMode == Mode.UP);
  }

  /** Open watches receive nothing any more but stay open; new requests are answered. */
  void stallWatches() {
    watchEpoch++;
    drainChecker.watchesStalled(proxy);
  }

  /** Called when a new process of the proxy has been started. */
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
        // The listening socket was closed.
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
        write(accepted, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body);
        recordNotified(callerProcessNumber, all);
      }
    } catch (IOException | InterruptedException e) {
      // The proxy closed the connection, or discovery went down.
    } finally {
      openConnections.remove(accepted);
    }
  }

  /** Returns the head of the request, or null at the end of the connection. */
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

  /**
   * Whether the proxy has closed this watch, or its process has ended. Data written to such a watch would wrongly count
   * as received.
   */
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

  private void watch(Socket accepted, int callerProcessNumber, long sinceVersion)
      throws IOException, InterruptedException {
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
