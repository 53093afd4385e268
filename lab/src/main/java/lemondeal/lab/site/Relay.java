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
 * Stands on loopback before one address and passes on what is sent there, as its {@link Passage} says. What comes back
 * passes freely unless nothing passes at all. Its draws come from the seed, one stream in the order in which pieces
 * come.
 */
public final class Relay implements AutoCloseable {
  private static final int PIECE = 4096;
  /** What is under way at most; beyond, the sender is held up, as by a full network. */
  private static final int PIECES = 256;
  private static final int DIAL_MILLIS = 2_000;
  private static final byte[] END = {};

  private record Piece(byte[] bytes, long dueNanos) {}

  private final ServerSocket socket;
  private final InetSocketAddress target;
  private final SplittableRandom random;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Object change = new Object();
  private Passage passage = Passage.OPEN;
  private boolean closed;

  public Relay(InetSocketAddress target, long seed) throws IOException {
    this.target = target;
    random = new SplittableRandom(seed);
    socket = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "relay", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** From now on bytes pass so, those under way among them. */
  public void let(Passage fresh) {
    synchronized (change) {
      passage = fresh;
      change.notifyAll();
    }
    if (fresh.way() == Passage.Way.CUT) {
      open.forEach(Relay::reset);
    }
  }

  private Passage passage() {
    synchronized (change) {
      return passage;
    }
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket from = socket.accept();
        open.add(from);
        if (passage().way() == Passage.Way.CUT) {
          end(from, from);
        } else {
          daemon(() -> join(from));
        }
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void join(Socket from) {
    Socket to = new Socket();
    open.add(to);
    try {
      awaitPassage();
      to.connect(target, DIAL_MILLIS);
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
    } catch (IOException | InterruptedException e) {
      end(from, to);
      return;
    }
    BlockingQueue<Piece> pieces = new ArrayBlockingQueue<>(PIECES);
    AtomicInteger ways = new AtomicInteger(2);
    daemon(() -> write(pieces, from, to, ways));
    daemon(() -> back(to, from, ways));
    read(from, pieces, to);
  }

  private void read(Socket from, BlockingQueue<Piece> pieces, Socket to) {
    byte[] buffer = new byte[PIECE];
    long due = 0;
    try {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        Passage now = passage();
        if (draw() < now.resetShare()) {
          end(from, to);
          return;
        }
        long held = now.delayMillis() + (long) (-Math.log(1 - draw()) * now.jitterMillis());
        due = Math.max(due, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(held));
        pieces.put(new Piece(Arrays.copyOf(buffer, count), due));
      }
      pieces.put(new Piece(END, due));
    } catch (IOException | InterruptedException e) {
      end(from, to);
    }
  }

  private double draw() {
    synchronized (random) {
      return random.nextDouble();
    }
  }

  private void write(BlockingQueue<Piece> pieces, Socket from, Socket to, AtomicInteger ways) {
    try {
      while (true) {
        Piece piece = pieces.take();
        TimeUnit.NANOSECONDS.sleep(piece.dueNanos() - System.nanoTime());
        Passage now = awaitPassage();
        if (piece.bytes() == END) {
          to.shutdownOutput();
          ended(ways, from, to);
          return;
        }
        to.getOutputStream().write(piece.bytes());
        if (now.bytesPerSecond() > 0) {
          TimeUnit.MILLISECONDS.sleep(piece.bytes().length * 1000L / now.bytesPerSecond());
        }
      }
    } catch (IOException | InterruptedException e) {
      end(from, to);
    }
  }

  private void back(Socket to, Socket from, AtomicInteger ways) {
    byte[] buffer = new byte[PIECE];
    try {
      InputStream in = to.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitPassage();
        from.getOutputStream().write(buffer, 0, count);
      }
      from.shutdownOutput();
      ended(ways, from, to);
    } catch (IOException | InterruptedException e) {
      end(from, to);
    }
  }

  /** Waits while everything is held. */
  private Passage awaitPassage() throws InterruptedException {
    synchronized (change) {
      while (passage.way() == Passage.Way.STALLED && !closed) {
        change.wait();
      }
      return passage;
    }
  }

  /** An end passes as an end: a reset would look like a server that died. Closed once both ways have ended. */
  private void ended(AtomicInteger ways, Socket from, Socket to) throws IOException {
    if (ways.decrementAndGet() == 0) {
      open.remove(from);
      open.remove(to);
      from.close();
      to.close();
    }
  }

  private void end(Socket one, Socket other) {
    reset(one);
    reset(other);
    open.remove(one);
    open.remove(other);
  }

  @Override
  public void close() {
    synchronized (change) {
      closed = true;
      change.notifyAll();
    }
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
    open.forEach(Relay::reset);
  }
}
