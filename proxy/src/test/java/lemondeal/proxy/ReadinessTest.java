package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import lemondeal.module.DecisionModule;
import lemondeal.net.Listener;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A restarted process with a configured server list becomes ready in time, whatever discovery does meanwhile. */
@Timeout(60)
class ReadinessTest {
  private static final long SECOND = 1_000_000;
  /** Nine in ten restarted processes must be ready within this time. */
  private static final long READY_WITHIN = 10 * SECOND;
  private static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final String LIST = "{\"generation\":2,\"reset\":true,\"instances\":[{\"instanceId\":\"s-1\","
      + "\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\",\"lifecycle\":\"in_service\"}]}\n";

  /** How discovery reacts to calls. */
  enum DiscoveryBehaviour {
    ANSWERS, NOTHING_NEW, DOWN, BACKLOG_FULL, SILENT, SILENT_AFTER_HEAD, UNAVAILABLE, GARBAGE, CUT_OFF, RESETS
  }

  private final Queue<AutoCloseable> resources = new ConcurrentLinkedQueue<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable resource : resources) {
      resource.close();
    }
  }

  private <T extends AutoCloseable> T track(T resource) {
    resources.add(resource);
    return resource;
  }

  /** Starts a discovery with this behaviour and server list; returns its port. */
  private int startDiscovery(DiscoveryBehaviour behaviour, String list) throws IOException {
    if (behaviour == DiscoveryBehaviour.DOWN) {
      // Bound and not listening.
      Socket socket = track(new Socket());
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return socket.getLocalPort();
    }
    ServerSocket socket = track(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    int port = socket.getLocalPort();
    if (behaviour == DiscoveryBehaviour.BACKLOG_FULL) {
      // With the accept queue full the kernel drops further connection attempts.
      for (int i = 0; i < 2; i++) {
        track(new Socket(InetAddress.getLoopbackAddress(), port));
      }
      KernelSockets.await(() -> KernelSockets.backlog(port) >= 2);
    } else {
      Thread thread = new Thread(() -> answer(socket, behaviour, list));
      thread.setDaemon(true);
      thread.start();
    }
    return port;
  }

  private void answer(ServerSocket socket, DiscoveryBehaviour behaviour, String list) {
    try {
      while (true) {
        LineSocket call = track(new LineSocket(socket.accept()));
        call.readLine();
        switch (behaviour) {
          case ANSWERS -> call.send(RESPONSE_HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
          case NOTHING_NEW -> call.send(RESPONSE_HEAD + "1\r\n\n\r\n");
          case SILENT_AFTER_HEAD -> call.send(RESPONSE_HEAD);
          case UNAVAILABLE -> call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").close();
          case GARBAGE -> call.send("\0garbage\r\n\r\n{]\n".repeat(100)).close();
          case CUT_OFF -> call.send(RESPONSE_HEAD + "40\r\n{\"generation\":2,\"reset\":tr").close();
          case RESETS -> call.reset();
          default -> { }
        }
      }
    } catch (IOException e) {
      assertTrue(socket.isClosed() || behaviour != DiscoveryBehaviour.ANSWERS);
    }
  }

  private ProxyFixture newFixture(boolean pushed, int discovery, ServerSocketChannel sharedListener,
      boolean hasConfiguredList) throws IOException {
    return track(ProxyFixture.of(null, options -> {
      options.module = new DecisionModule();
      options.sharedListener = sharedListener;
      options.editConfig = text -> {
        String changed = text.replaceAll("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:" + discovery + "\"")
            .replace("\"settings\":{", "\"settings\":{\"membershipMode\":\"" + (pushed ? "automatic" : "subscribe")
                + "\",\"rules\":{\"askEvery\":10000000,\"drainGrace\":1000000},");
        return hasConfiguredList ? changed : changed.replaceAll("\"instances\":\\[.*?\\]", "\"instances\":[]");
      };
    }));
  }

  private static boolean isReady(ProxyFixture fixture) throws IOException {
    return fixture.newAdminClient().send("ready\r\n").readLine().equals("200 yes");
  }

  /** The time by the proxy's clock until it is ready; stops measuring just beyond the allowed time. */
  private static long timeUntilReady(ProxyFixture fixture) throws Exception {
    long elapsed = 0;
    while (elapsed <= READY_WITHIN && !isReady(fixture)) {
      fixture.advanceClock(SECOND / 4);
      elapsed += SECOND / 4;
    }
    return elapsed;
  }

  @ParameterizedTest
  @EnumSource(DiscoveryBehaviour.class)
  void becomesReadyInPushMode(DiscoveryBehaviour behaviour) throws Exception {
    assertBecomesReady(behaviour, true);
  }

  @ParameterizedTest
  @EnumSource(DiscoveryBehaviour.class)
  void becomesReadyInPollMode(DiscoveryBehaviour behaviour) throws Exception {
    assertBecomesReady(behaviour, false);
  }

  private void assertBecomesReady(DiscoveryBehaviour behaviour, boolean pushed) throws Exception {
    ProxyFixture fixture = newFixture(pushed, startDiscovery(behaviour, LIST), null, true);
    assertEquals("PONG", fixture.newClient().send("PING\r\n").readLine());
    long elapsed = timeUntilReady(fixture);
    assertTrue(elapsed <= READY_WITHIN, behaviour + ": ready after " + elapsed);
    assertEquals(1, fixture.metric("servers_known"));
  }

  /** A successor accepts from the shared socket once it is ready, and not before. */
  @ParameterizedTest
  @EnumSource(DiscoveryBehaviour.class)
  void aSuccessorAcceptsOnceItIsReady(DiscoveryBehaviour behaviour) throws Exception {
    ServerSocketChannel sharedListener =
        track(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    ProxyFixture fixture = newFixture(true, startDiscovery(behaviour, LIST), sharedListener, true);
    LineSocket client = fixture.newClient().send("PING\r\n");
    assertTrue(timeUntilReady(fixture) <= READY_WITHIN, behaviour.toString());
    assertEquals("PONG", client.readLine());
  }

  /** Without any list a successor has no server to use: it is not ready and leaves clients to the other process. */
  @ParameterizedTest
  @CsvSource({"true, DOWN", "false, DOWN", "true, SILENT", "false, SILENT"})
  void withoutAnyListItIsNotReady(boolean pushed, DiscoveryBehaviour behaviour) throws Exception {
    ServerSocketChannel sharedListener =
        track(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    ProxyFixture fixture = newFixture(pushed, startDiscovery(behaviour, ""), sharedListener, false);
    LineSocket client = fixture.newClient().send("PING\r\n");
    assertTrue(timeUntilReady(fixture) > READY_WITHIN);
    fixture.awaitQueuedWork();
    assertEquals(1, KernelSockets.backlog(fixture.proxy.localAddress().getPort()), "left in the accept queue");
    client.close();
  }
}
