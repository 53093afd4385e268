package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process with few descriptors, whose clients try to use all of them. */
@Timeout(120)
class DescriptorExhaustionTest {
  private static final int SOCKETS = 128;
  private static final int SERVERS = 40;
  private static final String OPEN_FORMAT = "OPEN %016x %016x c=chat,d=2000,g=%016x,h=1000\r\n";

  @TempDir
  Path folder;

  private final List<LineSocket> connections = new ArrayList<>();
  /** Links that the proxy has opened for probes. */
  private final AtomicInteger probeLinks = new AtomicInteger();

  /** The fleet's servers, all at one address: each line is answered, and connections stay open. */
  private void serve(ServerSocket server) {
    try {
      while (true) {
        LineSocket link = new LineSocket(server.accept());
        link.socket.setSoTimeout(0);
        daemon(() -> answer(link));
      }
    } catch (IOException e) {
      assertTrue(server.isClosed());
    }
  }

  private void answer(LineSocket link) {
    try {
      String line = link.readLine();
      if (line != null && line.equals("STATS")) {
        probeLinks.incrementAndGet();
      }
      for (; line != null; line = link.readLine()) {
        link.send(line.startsWith("OPEN") ? "UP r1\r\n" : line.equals("STATS") ? "PONG x0=0.5\r\n" : line + "\r\n");
      }
      link.close();
    } catch (IOException e) {
      assertTrue(true, "closed at the end of the test");
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private Path config(int discovery, int server) throws IOException {
    String serverList = IntStream.range(0, SERVERS).mapToObj(i -> "{\"instanceId\":\"s-" + i
        + "\",\"hostPort\":\"127.0.0.1:" + server
        + "\",\"zone\":\"a\",\"machineType\":\"toy\",\"lifecycle\":\"in_service\",\"weight\":1}")
        .collect(Collectors.joining(","));
    return Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("../example/config.json"))
        .replace("127.0.0.1:8443\"", "127.0.0.1:0\",\"admin_addr\":\"127.0.0.1:0\"")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery)
        .replace("\"sockets\": 1024", "\"sockets\": " + SOCKETS)
        .replace("\"keepalive\": 5000000", "\"keepalive\": 600000000")
        .replace("\"instances\": []", "\"instances\": [" + serverList + "]"));
  }

  private static LineSocket connect(int port) throws IOException {
    return new LineSocket(new Socket(InetAddress.getLoopbackAddress(), port));
  }

  /** Keeps opening useless connections, closing its own oldest ones, so that all free descriptors are used. */
  private static final class ConnectionFlood implements AutoCloseable {
    private final Deque<LineSocket> peers = new ArrayDeque<>();
    private final DescriptorLimitedProcess program;
    private final Thread thread;
    private volatile boolean stopped;
    private volatile int maxDescriptors;

    ConnectionFlood(DescriptorLimitedProcess program) {
      this.program = program;
      thread = daemon(this::run);
    }

    private void run() {
      for (int i = 0; !stopped; i++) {
        try {
          LineSocket connection = connect(i % 7 == 0 ? program.adminPort() : program.port());
          peers.add(connection);
          if (peers.size() > 2 * SOCKETS) {
            peers.remove().close();
          }
          connection.send(List.of("", "garbage\r\n", "OPEN half a li", "PING\r\n").get(i % 4));
        } catch (IOException e) {
          assertTrue(true, "refused, which is allowed");
        }
        maxDescriptors = Math.max(maxDescriptors, program.openDescriptors());
      }
    }

    @Override
    public void close() throws IOException {
      stopped = true;
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
      for (LineSocket connection : peers) {
        connection.close();
      }
    }
  }

  /** A socket that is bound but not listening, so that connections to it are refused. */
  private static Socket boundWithoutListening() throws IOException {
    Socket socket = new Socket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return socket;
  }

  @Test
  void discoveryIsReachedAgainWhileIdleClientsHoldAllDescriptors() throws Exception {
    Socket closedDiscovery = boundWithoutListening();
    int discoveryPort = closedDiscovery.getLocalPort();
    try (ServerSocket server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress())) {
      daemon(() -> serve(server));
      Path config = config(discoveryPort, server.getLocalPort());
      Limits limits = Config.read(Map.of("GW_CONFIG", config.toString())).limits();
      try (DescriptorLimitedProcess program = new DescriptorLimitedProcess(config, SOCKETS)) {
        assertTrue(program.nonSocketDescriptors().size() + 1 <= 16 + 6,
            "the program's own descriptors: " + program.nonSocketDescriptors());
        List<LineSocket> established = establishClients(program, limits);
        try (ConnectionFlood flood = new ConnectionFlood(program)) {
          // Throttled meanwhile: each is a connection that the program has handled during the flood.
          for (int i = 0; i < 20; i++) {
            assertThrottled(program, i);
          }
          closedDiscovery.close();
          try (ServerSocket reopenedDiscovery = new ServerSocket()) {
            reopenedDiscovery.setReuseAddress(true);
            reopenedDiscovery.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), discoveryPort));
            reopenedDiscovery.setSoTimeout(20_000);
            try (LineSocket watch = new LineSocket(reopenedDiscovery.accept())) {
              assertTrue(watch.readLine().startsWith("GET /api/targets?stream=1"));
            }
            for (LineSocket client : established) {
              assertEquals("still here", client.send("still here\r\n").readLine());
            }
            assertThrottled(program, 99);
          }
          int descriptorLimit = SOCKETS + 6;
          assertTrue(flood.maxDescriptors > 2 * limits.maxClients() + limits.maxProbeLinks(),
              flood.maxDescriptors + " descriptors");
          assertTrue(flood.maxDescriptors <= descriptorLimit, flood.maxDescriptors + " descriptors");
          assertEquals(List.of(), program.unexpectedLogLines());
          assertTrue(program.isAlive());
        }
        assertTrue(probeLinks.get() > limits.maxProbeLinks(), probeLinks + " links for probes were made");
      }
    }
  }

  /** Establishes as many connections as there are slots. */
  private List<LineSocket> establishClients(DescriptorLimitedProcess program, Limits limits) throws Exception {
    // Several short requests for each server, so that the whole fleet is probed.
    for (int i = 0; i < 4 * SERVERS; i++) {
      try (LineSocket client = connect(program.port())) {
        client.send(String.format(OPEN_FORMAT, 20_000 + i, i * 0x9E3779B97F4A7C15L, i * 0x9E3779B97F4A7C15L))
            .readLine();
      }
    }
    List<LineSocket> established = new ArrayList<>();
    for (int i = 0; established.size() < limits.maxClients(); i++) {
      LineSocket client = connect(program.port());
      connections.add(client);
      String answer = client.send(String.format(OPEN_FORMAT, i, i * 0x9E3779B97F4A7C15L, i * 0x9E3779B97F4A7C15L))
          .readLine();
      if (answer.equals("UP r1")) {
        established.add(client);
      }
    }
    return established;
  }

  /** A client beyond the slots gets BUSY, or is disconnected if there is no room even for that. */
  private static void assertThrottled(DescriptorLimitedProcess program, int index) throws IOException {
    try (LineSocket client = connect(program.port())) {
      String answer;
      try {
        answer = client.send(String.format(OPEN_FORMAT, 10_000 + index, 1, 1)).readLine();
      } catch (IOException e) {
        answer = null;
      }
      assertTrue(answer == null || answer.startsWith("BUSY "), answer);
    }
  }
}
