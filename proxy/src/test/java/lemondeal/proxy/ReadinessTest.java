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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** A process that starts again with the list it had, whatever discovery does just then: by the proxy's clock. */
@Timeout(60)
class ReadinessTest {
  private static final long SECOND = 1_000_000;
  /** Nine in ten restarted processes are to be ready by then. */
  private static final long READY_WITHIN = 10 * SECOND;
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private static final String LIST = "{\"generation\":2,\"reset\":true,\"instances\":[{\"instanceId\":\"s-1\","
      + "\"hostPort\":\"127.0.0.1:9\",\"zone\":\"a\",\"machineType\":\"m\",\"lifecycle\":\"in_service\"}]}\n";

  /** How discovery meets those that call it. */
  enum Discovery {
    THERE, NOTHING_NEW, DOWN, NEVER_UP, SILENT, SILENT_BEHIND_ITS_HEAD, TURNS_AWAY, GARBAGE, CUT_OFF, RESETS
  }

  private final Queue<AutoCloseable> open = new ConcurrentLinkedQueue<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable each : open) {
      each.close();
    }
  }

  private <T extends AutoCloseable> T keep(T each) {
    open.add(each);
    return each;
  }

  /** The port of a discovery that behaves so; {@code list} is what it has to tell. */
  private int port(Discovery kind, String list) throws IOException {
    if (kind == Discovery.DOWN) {
      // Bound and not listening.
      Socket socket = keep(new Socket());
      socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      return socket.getLocalPort();
    }
    ServerSocket socket = keep(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    int port = socket.getLocalPort();
    if (kind == Discovery.NEVER_UP) {
      // With its queue full the system drops whatever else would connect.
      for (int i = 0; i < 2; i++) {
        keep(new Socket(InetAddress.getLoopbackAddress(), port));
      }
      KernelSockets.await(() -> KernelSockets.queued(port) >= 2);
    } else {
      Thread thread = new Thread(() -> answer(socket, kind, list));
      thread.setDaemon(true);
      thread.start();
    }
    return port;
  }

  private void answer(ServerSocket socket, Discovery kind, String list) {
    try {
      while (true) {
        Peer call = keep(new Peer(socket.accept()));
        call.line();
        switch (kind) {
          case THERE -> call.send(CHUNKED + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
          case NOTHING_NEW -> call.send(CHUNKED + "1\r\n\n\r\n");
          case SILENT_BEHIND_ITS_HEAD -> call.send(CHUNKED);
          case TURNS_AWAY -> call.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").close();
          case GARBAGE -> call.send("\0garbage\r\n\r\n{]\n".repeat(100)).close();
          case CUT_OFF -> call.send(CHUNKED + "40\r\n{\"generation\":2,\"reset\":tr").close();
          case RESETS -> call.reset();
          default -> { }
        }
      }
    } catch (IOException e) {
      assertTrue(socket.isClosed() || kind != Discovery.THERE);
    }
  }

  private Site site(boolean pushed, int discovery, ServerSocketChannel shared, boolean known) throws IOException {
    return keep(Site.of(null, setup -> {
      setup.module = new DecisionModule();
      setup.shared = shared;
      setup.config = text -> {
        String changed = text.replaceAll("\"discovery\":\"[^\"]*\"", "\"discovery\":\"127.0.0.1:" + discovery + "\"")
            .replace("\"settings\":{", "\"settings\":{\"membershipMode\":\"" + (pushed ? "automatic" : "subscribe")
                + "\",\"rules\":{\"askEvery\":10000000,\"drainGrace\":1000000},");
        return known ? changed : changed.replaceAll("\"instances\":\\[.*?\\]", "\"instances\":[]");
      };
    }));
  }

  private static boolean isReady(Site site) throws IOException {
    return site.caller().send("ready\r\n").line().equals("200 yes");
  }

  /** How long by the proxy's clock until it is ready: more than what is allowed is told as just that. */
  private static long readyAfter(Site site) throws Exception {
    long passed = 0;
    while (passed <= READY_WITHIN && !isReady(site)) {
      site.jump(SECOND / 4);
      passed += SECOND / 4;
    }
    return passed;
  }

  @ParameterizedTest
  @EnumSource(Discovery.class)
  void whereListsArePushed(Discovery kind) throws Exception {
    comesReady(kind, true);
  }

  @ParameterizedTest
  @EnumSource(Discovery.class)
  void whereListsAreAskedFor(Discovery kind) throws Exception {
    comesReady(kind, false);
  }

  private void comesReady(Discovery kind, boolean pushed) throws Exception {
    Site site = site(pushed, port(kind, LIST), null, true);
    assertEquals("PONG", site.client().send("PING\r\n").line());
    long passed = readyAfter(site);
    assertTrue(passed <= READY_WITHIN, kind + ": ready after " + passed);
    assertEquals(1, site.figure("servers_known"));
  }

  /** A successor accepts from the shared socket once it is ready, and not before. */
  @ParameterizedTest
  @EnumSource(Discovery.class)
  void aSuccessorAcceptsOnceItIsReady(Discovery kind) throws Exception {
    ServerSocketChannel shared = keep(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    Site site = site(true, port(kind, LIST), shared, true);
    Peer client = site.client().send("PING\r\n");
    assertTrue(readyAfter(site) <= READY_WITHIN, kind.toString());
    assertEquals("PONG", client.line());
  }

  /** With no list at all there is nothing to serve with: a successor says so, and leaves the clients to the other. */
  @ParameterizedTest
  @CsvSource({"true, DOWN", "false, DOWN", "true, SILENT", "false, SILENT"})
  void withoutAnyListItIsNotReady(boolean pushed, Discovery kind) throws Exception {
    ServerSocketChannel shared = keep(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
    Site site = site(pushed, port(kind, ""), shared, false);
    Peer client = site.client().send("PING\r\n");
    assertTrue(readyAfter(site) > READY_WITHIN);
    site.settle();
    assertEquals(1, KernelSockets.queued(site.proxy.localAddress().getPort()), "left in the queue");
    client.close();
  }
}
