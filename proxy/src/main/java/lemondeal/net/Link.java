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
 * One socket, with the ring buffer of bytes still to be written to it. Bytes read go straight to the owner, never more
 * than its {@link Owner#receiveCapacity}; that is the back-pressure.
 */
public final class Link {

  /** Receives a link's events on the I/O thread; none after {@link #connectionLost} or after it closed the link. */
  public interface Owner {
    /** Bytes that {@link #received} accepts now; 0 stops reading until {@link Link#resumeReads}. */
    int receiveCapacity();

    /** Must consume all of the bytes. */
    void received(ByteBuffer bytes);

    /** The peer has shut down its sending side. */
    void endOfInput();

    /** The connection was reset or failed. */
    void connectionLost();

    /** All sent bytes have been written to the socket. */
    void flushed();
  }

  private final Net net;
  private final StreamConnection connection;
  private final ConduitStreamSourceChannel source;
  private final ConduitStreamSinkChannel sink;
  /** Allocated on first use and released when it is empty, since most links have nothing to write. */
  private RingBuffer writeBuffer;
  private Owner owner;
  private boolean closed;
  private Runnable closeListener = () -> { };
  private boolean sendingEnded;
  private boolean outputShutDown;
  private boolean inputEnded;
  private Timers.Timer lingerTimer;
  /** Bytes that are still read and discarded in a lingering close. */
  private int lingerBytesLeft;

  Link(Net net, StreamConnection connection) {
    this.net = net;
    this.connection = connection;
    source = connection.getSourceChannel();
    sink = connection.getSinkChannel();
    source.setReadListener(channel -> runGuarded(this::onReadable));
    sink.setWriteListener(channel -> runGuarded(this::onWritable));
  }

  /** Starts reading for this owner. */
  public void start(Owner newOwner) {
    owner = newOwner;
    resumeReads();
  }

  /**
   * Reads bytes that have arrived, without waiting for the selector. Uses a separate buffer, since it may be called
   * while another link's bytes are in the shared read buffer.
   */
  public void readNow() {
    ByteBuffer bytes = net.ringPool().borrow();
    runGuarded(() -> read(bytes));
    net.ringPool().giveBack(bytes);
  }

  /** Bytes that {@link #send} accepts now. */
  public int sendCapacity() {
    return closed || sendingEnded ? Integer.MAX_VALUE
        : writeBuffer == null ? net.limits().ringBytes() : writeBuffer.free();
  }

  /** Whether all sent bytes have been written to the socket; also valid after the close. */
  public boolean isFlushed() {
    return writeBuffer == null || writeBuffer.isEmpty();
  }

  /** Runs a task of this link; if it throws, only this connection is closed. */
  public void runGuarded(Runnable task) {
    net.taskGuard().guard(task, this::fail);
  }

  /** Runs the task after a delay, guarded as in {@link #runGuarded}. */
  public Timers.Timer after(long micros, Runnable task) {
    return net.timers().after(micros, () -> runGuarded(task));
  }

  public void send(String text) {
    send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  /** Sends all of the bytes, which must fit {@link #sendCapacity}. After {@link #endSending} they are dropped. */
  public void send(ByteBuffer bytes) {
    if (closed || sendingEnded) {
      bytes.position(bytes.limit());
      return;
    }
    if (writeBuffer == null) {
      writeBuffer = net.ringPool().allocate();
    }
    writeBuffer.put(bytes);
    flush();
  }

  /** Shuts down the sending side once all bytes are written; reading continues. */
  public void endSending() {
    if (!closed && !sendingEnded) {
      sendingEnded = true;
      flush();
    }
  }

  /** Runs the task once this connection has closed: at once if it has. A link has one such task. */
  public void whenClosed(Runnable task) {
    if (closed) {
      task.run();
    } else {
      closeListener = task;
    }
  }

  /** Resumes reading after the owner had no capacity. */
  public void resumeReads() {
    if (!closed && !inputEnded) {
      source.resumeReads();
      // Some selectors raise no event for bytes that arrived while reading was suspended.
      source.wakeupReads();
    }
  }

  /**
   * Closes the connection such that sent bytes still arrive (lingering close): a socket closed with unread bytes
   * sends a reset, which can overtake what was written. The owner gets no more events.
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

  /** Whether a lingering close is in progress, which ends by itself. */
  public boolean isLingering() {
    return lingerTimer != null;
  }

  /** Closes at once. The owner gets no more events. */
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
      closeListener.run();
    }
  }

  /**
   * Discards unread bytes at the end of a lingering close, since closing with unread bytes would reset the connection
   * and lose the last answer. A peer that has sent more than the limit is reset on purpose: while it is blocked in
   * sending, it would notice no other kind of close.
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
      // The connection was reset: nothing can reach the peer any more.
    } finally {
      net.ringPool().giveBack(bytes);
    }
  }

  /** Closes with a reset, to pass on a reset that was received on the paired connection. */
  public void reset() {
    if (!closed) {
      try {
        connection.setOption(Options.CLOSE_ABORT, true);
      } catch (IOException | IllegalArgumentException e) {
        // Falls back to the plain close below.
      }
      close();
    }
  }

  /**
   * Reads a bounded number of bytes per event-loop turn. Reading until the socket is empty would let a peer that
   * sends at full speed starve all other connections. The selector reports the remaining bytes in the next turn.
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
      // Reported in a later task: the caller must not get the failure event while it is still sending.
      net.execute(() -> runGuarded(this::onWriteFailed));
    }
  }

  /** Reads what arrived before the connection failed: it may be the last answer. */
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
   * Reads and discards until the peer has closed its side too, up to a number of bytes: a peer that keeps sending at
   * full speed has had its answer and must not take more time.
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
