package lemondeal.lab.site;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A TCP relay on loopback that forwards to one address under {@link NetworkConditions}. Replies are forwarded without
 * delay unless the relay is stalled or cut. Random values come from one seeded stream, in the order in which chunks
 * arrive.
 */
public final class Relay implements AutoCloseable {
  private static final int CHUNK_BYTES = 4096;
  /** Chunks queued at most; beyond that the sender is blocked, as by a congested network. */
  private static final int MAX_QUEUED_CHUNKS = 256;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
  private static final byte[] END_OF_STREAM = {};

  private record Chunk(byte[] bytes, long dueNanos) {}

  private final ServerSocket socket;
  private final InetSocketAddress target;
  private final SplittableRandom random;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final Object conditionsLock = new Object();
  private NetworkConditions conditions = NetworkConditions.OPEN;
  private boolean closed;

  public Relay(InetSocketAddress target, long seed) throws IOException {
    this.target = target;
    random = new SplittableRandom(seed);
    socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(null, task, "relay", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** Changes the conditions, also for bytes that are queued. */
  public void setConditions(NetworkConditions newConditions) {
    synchronized (conditionsLock) {
      conditions = newConditions;
      conditionsLock.notifyAll();
    }
    if (newConditions.mode() == NetworkConditions.Mode.CUT) {
      openSockets.forEach(Relay::reset);
    }
  }

  private NetworkConditions currentConditions() {
    synchronized (conditionsLock) {
      return conditions;
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket from = socket.accept();
        openSockets.add(from);
        if (currentConditions().mode() == NetworkConditions.Mode.CUT) {
          resetBoth(from, from);
        } else {
          startDaemon(() -> forward(from));
        }
      }
    } catch (IOException e) {
      // The relay is closed.
    }
  }

  private void forward(Socket from) {
    Socket to = new Socket();
    openSockets.add(to);
    try {
      awaitNotStalled();
      to.connect(target, CONNECT_TIMEOUT_MILLIS);
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
    } catch (IOException | InterruptedException e) {
      resetBoth(from, to);
      return;
    }
    BlockingQueue<Chunk> chunks = new ArrayBlockingQueue<>(MAX_QUEUED_CHUNKS);
    AtomicInteger openDirections = new AtomicInteger(2);
    startDaemon(() -> writeChunks(chunks, from, to, openDirections));
    startDaemon(() -> forwardReplies(to, from, openDirections));
    readChunks(from, chunks, to);
  }

  private void readChunks(Socket from, BlockingQueue<Chunk> chunks, Socket to) {
    byte[] buffer = new byte[CHUNK_BYTES];
    long due = 0;
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        NetworkConditions current = currentConditions();
        if (nextRandom() < current.resetShare()) {
          resetBoth(from, to);
          return;
        }
        long delayMillis = current.delayMillis() + (long) (-Math.log(1 - nextRandom()) * current.jitterMillis());
        due = Math.max(due, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis));
        chunks.put(new Chunk(Arrays.copyOf(buffer, count), due));
      }
      chunks.put(new Chunk(END_OF_STREAM, due));
    } catch (IOException | InterruptedException e) {
      resetBoth(from, to);
    }
  }

  private double nextRandom() {
    synchronized (random) {
      return random.nextDouble();
    }
  }

  private void writeChunks(BlockingQueue<Chunk> chunks, Socket from, Socket to, AtomicInteger openDirections) {
    try {
      while (true) {
        Chunk chunk = chunks.take();
        TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
        NetworkConditions current = awaitNotStalled();
        if (chunk.bytes() == END_OF_STREAM) {
          to.shutdownOutput();
          onDirectionEnd(openDirections, from, to);
          return;
        }
        to.getOutputStream().write(chunk.bytes());
        if (current.bytesPerSecond() > 0) {
          TimeUnit.MILLISECONDS.sleep(chunk.bytes().length * 1000L / current.bytesPerSecond());
        }
      }
    } catch (IOException | InterruptedException e) {
      resetBoth(from, to);
    }
  }

  private void forwardReplies(Socket to, Socket from, AtomicInteger openDirections) {
    byte[] buffer = new byte[CHUNK_BYTES];
    try {
      InputStream in = to.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitNotStalled();
        from.getOutputStream().write(buffer, 0, count);
      }
      from.shutdownOutput();
      onDirectionEnd(openDirections, from, to);
    } catch (IOException | InterruptedException e) {
      resetBoth(from, to);
    }
  }

  /** Waits while the relay is stalled. Returns the current conditions. */
  private NetworkConditions awaitNotStalled() throws InterruptedException {
    synchronized (conditionsLock) {
      while (conditions.mode() == NetworkConditions.Mode.STALLED && !closed) {
        conditionsLock.wait();
      }
      return conditions;
    }
  }

  /** Closes both sockets once both directions have ended. A reset here would look like a crashed server. */
  private void onDirectionEnd(AtomicInteger openDirections, Socket from, Socket to) throws IOException {
    if (openDirections.decrementAndGet() == 0) {
      openSockets.remove(from);
      openSockets.remove(to);
      from.close();
      to.close();
    }
  }

  private void resetBoth(Socket first, Socket second) {
    reset(first);
    reset(second);
    openSockets.remove(first);
    openSockets.remove(second);
  }

  @Override
  public void close() {
    synchronized (conditionsLock) {
      closed = true;
      conditionsLock.notifyAll();
    }
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
    openSockets.forEach(Relay::reset);
  }
}
