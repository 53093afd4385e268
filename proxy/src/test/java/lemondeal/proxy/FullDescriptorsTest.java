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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process with few descriptors, all of which its clients would have. */
@Timeout(120)
class FullDescriptorsTest {
  private static final int SOCKETS = 128;
  private static final int SERVERS = 40;
  private static final String OPEN = "OPEN %016x %016x c=chat,d=2000,g=%016x,h=1000\r\n";

  @TempDir
  Path folder;

  private final List<Peer> kept = new ArrayList<>();
  /** Links made for probes. */
  private final AtomicInteger probeLinks = new AtomicInteger();

  /** The servers of the fleet, all at one address: each line that comes is answered, and connections stand. */
  private void serve(ServerSocket server) {
    try {
      while (true) {
        Peer link = new Peer(server.accept());
        link.socket.setSoTimeout(0);
        daemon(() -> answer(link));
      }
    } catch (IOException e) {
      assertTrue(server.isClosed());
    }
  }

  private void answer(Peer link) {
    try {
      String line = link.line();
      if (line != null && line.equals("STATS")) {
        probeLinks.incrementAndGet();
      }
      for (; line != null; line = link.line()) {
        link.send(line.startsWith("OPEN") ? "UP r1\r\n" : line.equals("STATS") ? "PONG x0=0.5\r\n" : line + "\r\n");
      }
      link.close();
    } catch (IOException e) {
      assertTrue(true, "the test ends");
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private Path config(int discovery, int server) throws IOException {
    String known = IntStream.range(0, SERVERS).mapToObj(i -> "{\"instanceId\":\"s-" + i + "\",\"hostPort\":\"127.0.0.1:"
        + server + "\",\"zone\":\"a\",\"machineType\":\"toy\",\"lifecycle\":\"in_service\",\"weight\":1}")
        .collect(Collectors.joining(","));
    return Files.writeString(folder.resolve("config.json"), Files.readString(Path.of("../example/config.json"))
        .replace("127.0.0.1:8443\"", "127.0.0.1:0\",\"admin_addr\":\"127.0.0.1:0\"")
        .replace("127.0.0.1:8500", "127.0.0.1:" + discovery)
        .replace("\"sockets\": 1024", "\"sockets\": " + SOCKETS)
        .replace("\"keepalive\": 5000000", "\"keepalive\": 600000000")
        .replace("\"instances\": []", "\"instances\": [" + known + "]"));
  }

  private static Peer connect(int port) throws IOException {
    return new Peer(new Socket(InetAddress.getLoopbackAddress(), port));
  }

  /** Fills whatever is left with connections that are of no use, and goes on to: the oldest of its own it closes. */
  private static final class Flood implements AutoCloseable {
    private final Deque<Peer> peers = new ArrayDeque<>();
    private final LimitedProcess program;
    private final Thread thread;
    private volatile boolean over;
    private volatile int most;

    Flood(LimitedProcess program) {
      this.program = program;
      thread = daemon(this::run);
    }

    private void run() {
      for (int i = 0; !over; i++) {
        try {
          Peer peer = connect(i % 7 == 0 ? program.adminPort() : program.port());
          peers.add(peer);
          if (peers.size() > 2 * SOCKETS) {
            peers.remove().close();
          }
          peer.send(List.of("", "garbage\r\n", "OPEN half a li", "PING\r\n").get(i % 4));
        } catch (IOException e) {
          assertTrue(true, "turned away, which is fine");
        }
        most = Math.max(most, program.descriptors());
      }
    }

    @Override
    public void close() throws IOException {
      over = true;
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
      for (Peer peer : peers) {
        peer.close();
      }
    }
  }

  /** Bound and not listening, so that it refuses. */
  private static Socket refusing() throws IOException {
    Socket socket = new Socket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return socket;
  }

  @Test
  void discoveryIsReachedWhenItIsBackThoughIdleClientsHoldAllThatTheyCan() throws Exception {
    Socket down = refusing();
    int discoveryPort = down.getLocalPort();
    try (ServerSocket server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress())) {
      daemon(() -> serve(server));
      Path config = config(discoveryPort, server.getLocalPort());
      Limits limits = Config.read(Map.of("GW_CONFIG", config.toString())).limits();
      try (LimitedProcess program = new LimitedProcess(config, SOCKETS)) {
        assertTrue(program.files().size() + 1 <= 16 + 6, "the program's own: " + program.files());
        List<Peer> standing = standing(program, limits);
        try (Flood flood = new Flood(program)) {
          // Refused meanwhile: each of these is a connection that the program has turned to in the flood.
          for (int i = 0; i < 20; i++) {
            assertThrottled(program, i);
          }
          down.close();
          try (ServerSocket back = new ServerSocket()) {
            back.setReuseAddress(true);
            back.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), discoveryPort));
            back.setSoTimeout(20_000);
            try (Peer watch = new Peer(back.accept())) {
              assertTrue(watch.line().startsWith("GET /api/targets?stream=1"));
            }
            for (Peer client : standing) {
              assertEquals("still here", client.send("still here\r\n").line());
            }
            assertThrottled(program, 99);
          }
          int cap = SOCKETS + 6;
          assertTrue(flood.most > 2 * limits.maxClients() + limits.maxProbeLinks(), flood.most + " descriptors");
          assertTrue(flood.most <= cap, flood.most + " descriptors");
          assertEquals(List.of(), program.complaints());
          assertTrue(program.isAlive());
        }
        assertTrue(probeLinks.get() > limits.maxProbeLinks(), probeLinks + " links for probes were made");
      }
    }
  }

  /** As many as have a slot, each up at its server. */
  private List<Peer> standing(LimitedProcess program, Limits limits) throws Exception {
    // A request in passing for each server or two: so the whole fleet is probed.
    for (int i = 0; i < 4 * SERVERS; i++) {
      try (Peer client = connect(program.port())) {
        client.send(String.format(OPEN, 20_000 + i, i * 0x9E3779B97F4A7C15L, i * 0x9E3779B97F4A7C15L)).line();
      }
    }
    List<Peer> standing = new ArrayList<>();
    for (int i = 0; standing.size() < limits.maxClients(); i++) {
      Peer client = connect(program.port());
      kept.add(client);
      String answer = client.send(String.format(OPEN, i, i * 0x9E3779B97F4A7C15L, i * 0x9E3779B97F4A7C15L)).line();
      if (answer.equals("UP r1")) {
        standing.add(client);
      }
    }
    return standing;
  }

  /** A client beyond the slots is told so, or sent away where even that has no room. */
  private static void assertThrottled(LimitedProcess program, int i) throws IOException {
    try (Peer client = connect(program.port())) {
      String answer;
      try {
        answer = client.send(String.format(OPEN, 10_000 + i, 1, 1)).line();
      } catch (IOException e) {
        answer = null;
      }
      assertTrue(answer == null || answer.startsWith("BUSY "), answer);
    }
  }
}
