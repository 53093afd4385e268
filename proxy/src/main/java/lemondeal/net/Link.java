package lemondeal.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * One socket, with the ring buffer of what is still to be written to it. What is read goes straight to the
 * owner, never more than the owner has room for: that is the back-pressure.
 */
public final class Link {

  /** Hears of a link, on the I/O thread. After {@link #broken} or a close of its own it hears nothing more. */
  public interface Owner {
    /** Bytes that {@link #received} would take now; 0 stops the reading until {@link Link#resume}. */
    int receiveCapacity();

    /** Takes all of the bytes. */
    void received(ByteBuffer bytes);

    /** The other side has ended its sending. */
    void endOfInput();

    /** The connection was reset or failed. */
    void connectionLost();

    /** All that was sent has been written. */
    void flushed();
  }

  private final Net net;
  private final StreamConnection connection;
  private final ConduitStreamSourceChannel source;
  private final ConduitStreamSinkChannel sink;
  /** Taken on first use and given back when it is empty: most links have nothing waiting. */
  private RingBuffer writeBuffer;
  private Owner owner;
  private boolean closed;
  private boolean sendingEnded;
  private boolean outputShutDown;
  private boolean inputEnded;
  private Timers.Timer lingerTimer;
  /** Bytes of a lingering side that are still read and dropped. */
  private int lingerBytesLeft;

  Link(Net net, StreamConnection connection) {
    this.net = net;
    this.connection = connection;
    source = connection.getSourceChannel();
    sink = connection.getSinkChannel();
    source.setReadListener(channel -> runGuarded(this::onReadable));
    sink.setWriteListener(channel -> runGuarded(this::onWritable));
  }

  /** Begins to read for this owner. */
  public void start(Owner newOwner) {
    owner = newOwner;
    resumeReads();
  }

  /**
   * Reads what has come already, before the selector says so. May be called while another link is being read, whose
   * bytes still stand in the shared buffer.
   */
  public void readNow() {
    ByteBuffer bytes = net.ringPool().borrow();
    runGuarded(() -> read(bytes));
    net.ringPool().giveBack(bytes);
  }

  /** Room for bytes to be sent. */
  public int sendCapacity() {
    return closed || sendingEnded ? Integer.MAX_VALUE : writeBuffer == null ? net.limits().ringBytes() : writeBuffer.free();
  }

  /** Whether all that was sent has been written to the socket; also after the close. */
  public boolean isFlushed() {
    return writeBuffer == null || writeBuffer.isEmpty();
  }

  /** Runs what concerns this link: a failure in it ends this connection alone. */
  public void runGuarded(Runnable task) {
    net.taskGuard().guard(task, this::fail);
  }

  /** Runs the task after a time, as {@link #guarded} does. */
  public Timers.Timer after(long micros, Runnable task) {
    return net.timers().after(micros, () -> runGuarded(task));
  }

  public void send(String text) {
    send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  /** Sends all of the bytes, for which there must be room. What comes after the end is dropped. */
  public void send(ByteBuffer bytes) {
    if (closed || sendingEnded) {
      bytes.position(bytes.limit());
      return;
    }
    if (writeBuffer == null) {
      writeBuffer = net.ringPool().take();
    }
    writeBuffer.put(bytes);
    flush();
  }

  /** Ends the sending once all is written; the other direction goes on. */
  public void endSending() {
    if (!closed && !sendingEnded) {
      sendingEnded = true;
      flush();
    }
  }

  /** Reads on, after the owner had no room. */
  public void resumeReads() {
    if (!closed && !inputEnded) {
      source.resumeReads();
      // Bytes that came while the reading was suspended bring no word of their own from some selectors.
      source.wakeupReads();
    }
  }

  /**
   * Ends both directions such that what was sent still arrives: a socket closed with unread bytes is reset,
   * and the reset overtakes what was written. The owner hears nothing more.
   */
  public void closeGracefully() {
    if (closed) {
      return;
    }
    owner = new LingeringOwner();
    endSending();
    if (inputEnded && isFlushed()) {
      close();
    } else if (!closed && lingerTimer == null) {
      lingerBytesLeft = net.limits().maxLingerBytes();
      lingerTimer = after(net.limits().lingerTimeout(), this::close);
      net.lingeringLinks().add(this);
      resumeReads();
    }
  }

  /** Whether the link will close by itself. */
  public boolean isLingering() {
    return lingerTimer != null;
  }

  /** Closes at once. The owner hears nothing more. */
  public void close() {
    if (!closed) {
      closed = true;
      if (lingerTimer != null) {
        lingerTimer.cancel();
        net.lingeringLinks().remove(this);
        discardUnread();
      }
      IoUtils.safeClose(connection);
      if (writeBuffer != null) {
        writeBuffer.release(net.ringPool());
      }
    }
  }

  /**
   * Guards the last answer of a side that lingers no longer: a close over unread bytes would reset it. Who has sent more
   * than is worth the time is reset on purpose: a side that is stuck in its sending would hear of no other end.
   */
  private void discardUnread() {
    ByteBuffer bytes = net.ringPool().borrow();
    try {
      for (int count = 1; count > 0 && lingerBytesLeft > 0; lingerBytesLeft -= count) {
        count = source.read(bytes.clear());
      }
      if (lingerBytesLeft <= 0) {
        connection.setOption(Options.CLOSE_ABORT, true);
      }
    } catch (IOException | IllegalArgumentException e) {
      // The other side was reset: nothing can reach it any more.
    } finally {
      net.ringPool().giveBack(bytes);
    }
  }

  /** Closes with a reset, as the other side of a connection that was reset itself should see it. */
  public void reset() {
    if (!closed) {
      try {
        connection.setOption(Options.CLOSE_ABORT, true);
      } catch (IOException | IllegalArgumentException e) {
        // The plain close below is then the nearest thing.
      }
      close();
    }
  }

  /**
   * Reads for one turn. Guards against a side that sends at full speed: read until its socket is empty, it would
   * keep all others from the one I/O thread. What is left over is told again in the next turn.
   */
  private void onReadable() {
    read(net.readBuffer(Integer.MAX_VALUE));
  }

  private void read(ByteBuffer bytes) {
    try {
      int bytesLeft = net.limits().readBytesPerTurn();
      while (!closed && !inputEnded && bytesLeft > 0) {
        int maxBytes = Math.min(bytesLeft, owner.receiveCapacity());
        if (maxBytes <= 0) {
          source.suspendReads();
          return;
        }
        int count = source.read(bytes.clear().limit(Math.min(maxBytes, bytes.capacity())));
        if (count == 0) {
          return;
        }
        if (count < 0) {
          inputEnded = true;
          source.suspendReads();
          source.shutdownReads();
          owner.endOfInput();
          return;
        }
        bytesLeft -= count;
        owner.received(bytes.flip());
      }
    } catch (IOException e) {
      fail();
    }
  }

  private void onWritable() {
    if (closed) {
      return;
    }
    boolean hadPendingBytes = !isFlushed();
    flush();
    if (hadPendingBytes && !closed && isFlushed()) {
      owner.flushed();
    }
  }

  private void flush() {
    try {
      if (writeBuffer != null) {
        writeBuffer.writeTo(sink);
        if (!writeBuffer.isEmpty()) {
          sink.resumeWrites();
          return;
        }
        writeBuffer.release(net.ringPool());
        writeBuffer = null;
      }
      if (sendingEnded && !outputShutDown) {
        outputShutDown = true;
        sink.shutdownWrites();
      }
      if (sink.flush()) {
        sink.suspendWrites();
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      // Told later: whoever sends must not hear of the failure in the middle of its own work.
      net.execute(() -> runGuarded(this::onWriteFailed));
    }
  }

  /** What came before the other side went is still taken: it may be the last answer. */
  private void onWriteFailed() {
    onReadable();
    fail();
  }

  private void fail() {
    if (!closed) {
      Owner formerOwner = owner;
      close();
      if (formerOwner != null) {
        formerOwner.connectionLost();
      }
    }
  }

  /**
   * Reads and drops until the other side has ended too, but not without end: a side that goes on sending at full
   * speed is not worth the time, and has had its answer.
   */
  private final class LingeringOwner implements Owner {
    @Override
    public int receiveCapacity() {
      return lingerBytesLeft;
    }

    @Override
    public void received(ByteBuffer bytes) {
      lingerBytesLeft -= bytes.remaining();
      bytes.position(bytes.limit());
    }

    @Override
    public void endOfInput() {
      if (isFlushed()) {
        close();
      }
    }

    @Override
    public void connectionLost() {
      // The link is closed already.
    }

    @Override
    public void flushed() {
      if (inputEnded) {
        close();
      }
    }
  }
}
