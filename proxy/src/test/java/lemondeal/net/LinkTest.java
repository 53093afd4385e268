package lemondeal.net;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.config.Limits;
import lemondeal.log.PlainLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.Options;
import org.xnio.StreamConnection;

/** Links on loopback, with peers that flood, reset or connect in crowds. */
@Timeout(30)
class LinkTest {
  private final Limits limits = Limits.of(1024, 192, 500_000, 5_000_000, 2_000_000);
  private final BlockingQueue<Link> accepted = new LinkedBlockingQueue<>();
  private volatile Runnable onAccept = () -> { };
  private Net net;
  private Listener listener;

  /** Counts the bytes received in each turn of the event loop. */
  private final class CountingOwner implements Link.Owner {
    final BlockingQueue<Integer> bytesPerTurn = new LinkedBlockingQueue<>();
    private int bytesInTurn;

    @Override
    public int receiveCapacity() {
      return Integer.MAX_VALUE;
    }

    @Override
    public void received(ByteBuffer bytes) {
      if (bytesInTurn == 0) {
        net.execute(() -> {
          bytesPerTurn.add(bytesInTurn);
          bytesInTurn = 0;
        });
      }
      bytesInTurn += bytes.remaining();
    }

    @Override
    public void endOfInput() {
      bytesPerTurn.add(-1);
    }

    @Override
    public void connectionLost() {
      bytesPerTurn.add(-1);
    }

    @Override
    public void flushed() {
      // Nothing is sent.
    }
  }

  @BeforeEach
  void listen() throws Exception {
    net = new Net(limits, new TaskGuard(new PlainLog(System.err)));
    net.runAndWait(() -> {
      listener = net.listen(Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
          limits.maxAccepted(), link -> {
            accepted.add(link);
            onAccept.run();
          });
      listener.resume();
      return null;
    });
  }

  @AfterEach
  void shutdown() {
    net.shutdown();
  }

  private Link nextAccepted() throws InterruptedException {
    return accepted.poll(10, TimeUnit.SECONDS);
  }

  /** A peer sending at full speed was once read until its socket was empty, however long that took. */
  @Test
  void oneTurnReadsABoundedNumberOfBytes() throws Exception {
    try (SocketChannel peer = SocketChannel.open(listener.address())) {
      peer.configureBlocking(false);
      ByteBuffer bytes = ByteBuffer.allocate(1 << 20);
      long sent = 0;
      for (int count = peer.write(bytes); count > 0; count = peer.write(bytes.clear())) {
        sent += count;
      }
      assertTrue(sent > 2L * limits.readBytesPerTurn(), "bytes buffered by the system: " + sent);
      CountingOwner owner = new CountingOwner();
      Link link = nextAccepted();
      net.execute(() -> link.start(owner));
      for (long receivedBytes = 0; receivedBytes < sent; ) {
        int turnBytes = owner.bytesPerTurn.poll(10, TimeUnit.SECONDS);
        assertTrue(turnBytes > 0 && turnBytes <= limits.readBytesPerTurn(), "bytes read in one turn: " + turnBytes);
        receivedBytes += turnBytes;
      }
    }
  }

  /** Clients that reconnect at once kept the I/O thread accepting, and open connections were not read. */
  @Test
  void oneTurnAcceptsABoundedNumberOfConnections() throws Exception {
    int count = 4 * limits.acceptsPerTurn();
    CountDownLatch allConnected = new CountDownLatch(1);
    BlockingQueue<Integer> firstTurn = new LinkedBlockingQueue<>();
    List<SocketChannel> peers = new ArrayList<>();
    onAccept = () -> net.execute(() -> firstTurn.add(accepted.size()));
    net.execute(() -> assertDoesNotThrow(() -> allConnected.await(10, TimeUnit.SECONDS)));
    try {
      for (int i = 0; i < count; i++) {
        peers.add(SocketChannel.open(listener.address()));
      }
      allConnected.countDown();
      assertTrue(firstTurn.poll(10, TimeUnit.SECONDS) <= limits.acceptsPerTurn());
      for (int i = 0; i < count; i++) {
        assertNotNull(nextAccepted(), "all are accepted eventually");
      }
    } finally {
      for (SocketChannel peer : peers) {
        peer.close();
      }
    }
  }

  /** A ring buffer for each accepted connection would take memory for silent clients too. */
  @Test
  void aLinkWithNothingToSendHoldsNoRingBuffer() throws Exception {
    BufferPoolMXBean direct = ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
        .filter(pool -> pool.getName().equals("direct")).findFirst().orElseThrow();
    List<SocketChannel> peers = new ArrayList<>();
    try {
      long before = direct.getMemoryUsed();
      for (int i = 0; i < 60; i++) {
        peers.add(SocketChannel.open(listener.address()));
        assertEquals(limits.ringBytes(), nextAccepted().sendCapacity());
      }
      assertTrue(direct.getMemoryUsed() - before < 30L * limits.ringBytes());
    } finally {
      for (SocketChannel peer : peers) {
        peer.close();
      }
    }
  }

  /** Records events in order. */
  private class RecordingOwner implements Link.Owner {
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    @Override
    public int receiveCapacity() {
      return 64;
    }

    @Override
    public void received(ByteBuffer bytes) {
      events.add(StandardCharsets.ISO_8859_1.decode(bytes).toString());
    }

    @Override
    public void endOfInput() {
      events.add("ended");
    }

    @Override
    public void connectionLost() {
      events.add("broken");
    }

    @Override
    public void flushed() {
      events.add("flushed");
    }

    String next() throws InterruptedException {
      return events.poll(10, TimeUnit.SECONDS);
    }
  }

  /** Starts the link for this owner and waits until it has been read once. */
  private void startAndAwaitFirstRead(Link link, Link.Owner owner) throws IOException {
    net.runAndWait(() -> {
      link.start(owner);
      return null;
    });
    for (int i = 0; i < 2; i++) {
      net.runAndWait(() -> null);
    }
  }

  private static void reset(SocketChannel peer) throws IOException {
    peer.setOption(StandardSocketOptions.SO_LINGER, 0);
    peer.close();
  }

  /** A server sends its last line and a reset: when a write saw the reset first, the line was dropped. */
  @Test
  void aFailedWriteDoesNotDropReceivedBytes() throws Exception {
    RecordingOwner owner = new RecordingOwner();
    try (SocketChannel peer = SocketChannel.open(listener.address())) {
      Link link = nextAccepted();
      startAndAwaitFirstRead(link, owner);
      net.runAndWait(() -> {
        peer.write(ByteBuffer.wrap("BYE".getBytes(StandardCharsets.ISO_8859_1)));
        reset(peer);
        // This runs on the I/O thread, so nothing has been read before the write.
        link.send("x");
        return null;
      });
      assertEquals("BYE", owner.next());
      List<String> laterEvents = new ArrayList<>(List.of(owner.next()));
      if (laterEvents.get(0).equals("ended")) {
        laterEvents.add(owner.next());
      }
      assertEquals("broken", laterEvents.get(laterEvents.size() - 1));
    }
  }

  /** After a lost connection the closed link still shows whether all bytes were written. */
  @Test
  void aLostConnectionKnowsWhetherAllWasWritten() throws Exception {
    RecordingOwner owner = new RecordingOwner();
    try (SocketChannel peer = SocketChannel.open(listener.address())) {
      Link link = nextAccepted();
      startAndAwaitFirstRead(link, owner);
      net.runAndWait(() -> {
        ByteBuffer bytes = ByteBuffer.allocate(1024);
        while (link.isFlushed()) {
          link.send(bytes.clear());
        }
        return null;
      });
      reset(peer);
      assertEquals("broken", owner.next());
      net.runAndWait(() -> {
        assertFalse(link.isFlushed(), "some bytes were not written");
        return null;
      });
    }
  }

  /** A read of one link within a read of another overwrote the other link's bytes in the shared buffer. */
  @Test
  void aNestedReadLeavesTheBytesOfTheOuterReadIntact() throws Exception {
    RecordingOwner secondOwner = new RecordingOwner();
    try (SocketChannel firstPeer = SocketChannel.open(listener.address())) {
      Link firstLink = nextAccepted();
      try (SocketChannel secondPeer = SocketChannel.open(listener.address())) {
        Link secondLink = nextAccepted();
        RecordingOwner firstOwner = new RecordingOwner() {
          @Override
          public void received(ByteBuffer bytes) {
            secondLink.readNow();
            super.received(bytes);
          }
        };
        net.runAndWait(() -> {
          firstPeer.write(ByteBuffer.wrap("first".getBytes(StandardCharsets.ISO_8859_1)));
          secondPeer.write(ByteBuffer.wrap("second".getBytes(StandardCharsets.ISO_8859_1)));
          secondLink.start(secondOwner);
          firstLink.start(firstOwner);
          firstLink.readNow();
          return null;
        });
        assertEquals("second", secondOwner.next());
        assertEquals("first", firstOwner.next());
      }
    }
  }

  /** Timers that never expire. */
  private static final class StoppedTimers implements Timers {
    @Override
    public long now() {
      return 0;
    }

    @Override
    public Timer after(long micros, Runnable task) {
      return () -> { };
    }
  }

  /** Without TCP_NODELAY the system delayed small writes, which a reset then discarded. */
  @Test
  void everySocketHasTcpNoDelay() throws Exception {
    try (ServerSocketChannel server = Listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        SocketChannel peer = SocketChannel.open(listener.address())) {
      BlockingQueue<Link> dialled = new LinkedBlockingQueue<>();
      net.setTimers(new StoppedTimers());
      net.execute(() -> net.dial((InetSocketAddress) assertDoesNotThrow(server::getLocalAddress), 5_000_000,
          dialled::add, () -> { }));
      for (Link link : List.of(nextAccepted(), dialled.poll(10, TimeUnit.SECONDS))) {
        Field connection = Link.class.getDeclaredField("connection");
        connection.setAccessible(true);
        assertEquals(true, ((StreamConnection) connection.get(link)).getOption(Options.TCP_NODELAY));
      }
      assertTrue(peer.isConnected());
    }
  }
}
