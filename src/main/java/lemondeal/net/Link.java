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
  private final Ring out;
  private Owner owner;
  private boolean closed;
  private boolean lastSent;
  private boolean sinkShut;
  private Timers.Timer lingering;

  Link(Net net, StreamConnection connection) {
    this.net = net;
    this.connection = connection;
    source = connection.getSourceChannel();
    sink = connection.getSinkChannel();
    out = net.rings().take();
    source.setReadListener(channel -> readable());
    sink.setWriteListener(channel -> writable());
  }

  /** Begins to read for this owner. */
  public void start(Owner newOwner) {
    owner = newOwner;
    resume();
  }

  /** Room for bytes to be sent. */
  public int free() {
    return closed || lastSent ? Integer.MAX_VALUE : out.free();
  }

  /** Whether all that was sent has been written to the socket; also after the close. */
  public boolean isFlushed() {
    return out.isEmpty();
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
    if (!closed) {
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
    if (!closed && lingering == null) {
      lingering = net.timers().after(net.limits().linger(), this::close);
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
      Timers.cancel(lingering);
      IoUtils.safeClose(connection);
      out.release(net.rings());
      net.closed();
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

  private void readable() {
    try {
      while (!closed) {
        int room = owner.room();
        if (room <= 0) {
          source.suspendReads();
          return;
        }
        ByteBuffer bytes = net.scratch(room);
        int count = source.read(bytes);
        if (count == 0) {
          return;
        }
        if (count < 0) {
          source.suspendReads();
          source.shutdownReads();
          owner.ended();
          return;
        }
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
    boolean waited = !out.isEmpty();
    flush();
    if (waited && !closed && out.isEmpty()) {
      owner.flushed();
    }
  }

  private void flush() {
    try {
      out.writeTo(sink);
      if (!out.isEmpty()) {
        sink.resumeWrites();
        return;
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
      net.later(this::broke);
    }
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

  /** Reads and drops until the other side has ended too. */
  private final class Lingering implements Owner {
    @Override
    public int room() {
      return Integer.MAX_VALUE;
    }

    @Override
    public void received(ByteBuffer bytes) {
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
      // Closed when the other side ends, or by the timer.
    }
  }
}
