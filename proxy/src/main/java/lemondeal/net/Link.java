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
    int room();

    /** Takes all of the bytes. */
    void received(ByteBuffer bytes);

    /** The other side has ended its sending. */
    void ended();

    /** The connection was reset or failed. */
    void broken();

    /** All that was sent has been written. */
    void flushed();
  }

  private final Net net;
  private final StreamConnection connection;
  private final ConduitStreamSourceChannel source;
  private final ConduitStreamSinkChannel sink;
  /** Taken on first use and given back when it is empty: most links have nothing waiting. */
  private Ring out;
  private Owner owner;
  private boolean closed;
  private boolean lastSent;
  private boolean sinkShut;
  private boolean otherEnded;
  private Timers.Timer lingering;
  /** Bytes of a lingering side that are still read and dropped. */
  private int lingerLeft;

  Link(Net net, StreamConnection connection) {
    this.net = net;
    this.connection = connection;
    source = connection.getSourceChannel();
    sink = connection.getSinkChannel();
    source.setReadListener(channel -> guarded(this::readable));
    sink.setWriteListener(channel -> guarded(this::writable));
  }

  /** Begins to read for this owner. */
  public void start(Owner newOwner) {
    owner = newOwner;
    resume();
  }

  /**
   * Reads what has come already, before the selector says so. May be called while another link is being read, whose
   * bytes still stand in the shared buffer.
   */
  public void readNow() {
    ByteBuffer bytes = net.rings().borrow();
    guarded(() -> read(bytes));
    net.rings().giveBack(bytes);
  }

  /** Room for bytes to be sent. */
  public int free() {
    return closed || lastSent ? Integer.MAX_VALUE : out == null ? net.limits().ringBytes() : out.free();
  }

  /** Whether all that was sent has been written to the socket; also after the close. */
  public boolean isFlushed() {
    return out == null || out.isEmpty();
  }

  /** Runs what concerns this link: a failure in it ends this connection alone. */
  public void guarded(Runnable task) {
    net.faults().guard(task, this::broke);
  }

  /** Runs the task after a time, as {@link #guarded} does. */
  public Timers.Timer after(long micros, Runnable task) {
    return net.timers().after(micros, () -> guarded(task));
  }

  public void send(String text) {
    send(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  /** Sends all of the bytes, for which there must be room. What comes after the end is dropped. */
  public void send(ByteBuffer bytes) {
    if (closed || lastSent) {
      bytes.position(bytes.limit());
      return;
    }
    if (out == null) {
      out = net.rings().take();
    }
    out.put(bytes);
    flush();
  }

  /** Ends the sending once all is written; the other direction goes on. */
  public void endSending() {
    if (!closed && !lastSent) {
      lastSent = true;
      flush();
    }
  }

  /** Reads on, after the owner had no room. */
  public void resume() {
    if (!closed && !otherEnded) {
      source.resumeReads();
      // Bytes that came while the reading was suspended bring no word of their own from some selectors.
      source.wakeupReads();
    }
  }

  /**
   * Ends both directions such that what was sent still arrives: a socket closed with unread bytes is reset,
   * and the reset overtakes what was written. The owner hears nothing more.
   */
  public void finish() {
    if (closed) {
      return;
    }
    owner = new Lingering();
    endSending();
    if (otherEnded && isFlushed()) {
      close();
    } else if (!closed && lingering == null) {
      lingerLeft = net.limits().lingerBytes();
      lingering = after(net.limits().linger(), this::close);
      net.lingering().enter(this);
      resume();
    }
  }

  /** Whether the link will close by itself. */
  public boolean isFinishing() {
    return lingering != null;
  }

  /** Closes at once. The owner hears nothing more. */
  public void close() {
    if (!closed) {
      closed = true;
      if (lingering != null) {
        lingering.cancel();
        net.lingering().leave(this);
        dropUnread();
      }
      IoUtils.safeClose(connection);
      if (out != null) {
        out.release(net.rings());
      }
    }
  }

  /**
   * Guards the last answer of a side that lingers no longer: a close over unread bytes would reset it. Who has sent more
   * than is worth the time is reset on purpose: a side that is stuck in its sending would hear of no other end.
   */
  private void dropUnread() {
    ByteBuffer bytes = net.rings().borrow();
    try {
      for (int count = 1; count > 0 && lingerLeft > 0; lingerLeft -= count) {
        count = source.read(bytes.clear());
      }
      if (lingerLeft <= 0) {
        connection.setOption(Options.CLOSE_ABORT, true);
      }
    } catch (IOException | IllegalArgumentException e) {
      // The other side was reset: nothing can reach it any more.
    } finally {
      net.rings().giveBack(bytes);
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
  private void readable() {
    read(net.scratch(Integer.MAX_VALUE));
  }

  private void read(ByteBuffer bytes) {
    try {
      int left = net.limits().turnBytes();
      while (!closed && !otherEnded && left > 0) {
        int room = Math.min(left, owner.room());
        if (room <= 0) {
          source.suspendReads();
          return;
        }
        int count = source.read(bytes.clear().limit(Math.min(room, bytes.capacity())));
        if (count == 0) {
          return;
        }
        if (count < 0) {
          otherEnded = true;
          source.suspendReads();
          source.shutdownReads();
          owner.ended();
          return;
        }
        left -= count;
        owner.received(bytes.flip());
      }
    } catch (IOException e) {
      broke();
    }
  }

  private void writable() {
    if (closed) {
      return;
    }
    boolean waited = !isFlushed();
    flush();
    if (waited && !closed && isFlushed()) {
      owner.flushed();
    }
  }

  private void flush() {
    try {
      if (out != null) {
        out.writeTo(sink);
        if (!out.isEmpty()) {
          sink.resumeWrites();
          return;
        }
        out.release(net.rings());
        out = null;
      }
      if (lastSent && !sinkShut) {
        sinkShut = true;
        sink.shutdownWrites();
      }
      if (sink.flush()) {
        sink.suspendWrites();
      } else {
        sink.resumeWrites();
      }
    } catch (IOException e) {
      // Told later: whoever sends must not hear of the failure in the middle of its own work.
      net.later(() -> guarded(this::writeFailed));
    }
  }

  /** What came before the other side went is still taken: it may be the last answer. */
  private void writeFailed() {
    readable();
    broke();
  }

  private void broke() {
    if (!closed) {
      Owner told = owner;
      close();
      if (told != null) {
        told.broken();
      }
    }
  }

  /**
   * Reads and drops until the other side has ended too, but not without end: a side that goes on sending at full
   * speed is not worth the time, and has had its answer.
   */
  private final class Lingering implements Owner {
    @Override
    public int room() {
      return lingerLeft;
    }

    @Override
    public void received(ByteBuffer bytes) {
      lingerLeft -= bytes.remaining();
      bytes.position(bytes.limit());
    }

    @Override
    public void ended() {
      if (isFlushed()) {
        close();
      }
    }

    @Override
    public void broken() {
      // The link is closed already.
    }

    @Override
    public void flushed() {
      if (otherEnded) {
        close();
      }
    }
  }
}
