package lemondeal.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.OpenListener;

/**
 * A listening socket, whose connections are accepted on the I/O thread. Beyond the limit, connections wait in the
 * kernel's accept queue until others have closed. Nothing is accepted ahead into a queue here, so that after
 * {@link #suspend} another process that shares the socket gets all connections not reported yet.
 */
public final class Listener {
  private static final int BACKLOG = 1024;
  /** Microseconds before accepting is retried after a failure; doubled at each further one, up to the maximum. */
  private static final long RETRY_DELAY_FIRST = 10_000;
  private static final long RETRY_DELAY_MAX = 80_000;
  /** Retries to drain the kernel's accept queue at a close: about a second of failures. */
  private static final int BACKLOG_RETRIES = 15;

  private final Net net;
  private final int acceptsPerTurn;
  private final Consumer<Link> onAccepted;
  private final AcceptingChannel<? extends StreamConnection> acceptingChannel;
  private final Set<Link> openLinks = new LinkedHashSet<>();
  private long retryDelay = RETRY_DELAY_FIRST;
  /** Whether connections should be accepted; a retry may be pending. */
  private boolean accepting;

  Listener(Net net, XnioWorker worker, ServerSocketChannel channel, int maxConnections, Consumer<Link> onAccepted)
      throws IOException {
    this.net = net;
    this.onAccepted = onAccepted;
    acceptsPerTurn = net.limits().acceptsPerTurn();
    channel.configureBlocking(false);
    acceptingChannel = OpenListener.serve(worker, channel, ready -> acceptBatch(),
        OptionMap.builder().set(Options.TCP_NODELAY, true).set(Options.CONNECTION_HIGH_WATER, maxConnections)
            .set(Options.CONNECTION_LOW_WATER, maxConnections - 1).getMap());
  }

  /** Opens a listening socket. */
  public static ServerSocketChannel bind(InetSocketAddress address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    try {
      channel.socket().setReuseAddress(true);
      return channel.bind(address, BACKLOG);
    } catch (IOException e) {
      IoUtils.safeClose(channel);
      throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
  }

  /**
   * The listening socket that this process inherited as descriptor 0. It must never be closed: the JDK would then
   * replace descriptors 0, 1 and 2 by /dev/null, and the log would be lost.
   */
  public static ServerSocketChannel inherited() throws IOException {
    Channel channel = System.inheritedChannel();
    if (channel instanceof ServerSocketChannel listening) {
      return listening;
    }
    throw new IOException("descriptor 0 is not a listening socket");
  }

  public InetSocketAddress address() {
    return acceptingChannel.getLocalAddress(InetSocketAddress.class);
  }

  /** Starts or resumes accepting. */
  public void resume() {
    accepting = true;
    acceptingChannel.resumeAccepts();
  }

  /** Stops accepting; the socket stays open. */
  public void suspend() {
    accepting = false;
    acceptingChannel.suspendAccepts();
  }

  /**
   * Accepts all connections in the kernel's accept queue, then closes the socket. On a close the kernel resets whatever
   * is in that queue, although it may have acknowledged those clients' first lines already; they arrived while this
   * process was busy. At most one queue's length is accepted: clients that reconnect as soon as they are rejected would
   * otherwise keep the socket open for ever. Failures to accept are retried for about a second.
   *
   * @param onClosed run once the socket is closed
   */
  public void acceptBacklogAndClose(Runnable onClosed) {
    acceptBacklogAndClose(onClosed, BACKLOG_RETRIES);
  }

  private void acceptBacklogAndClose(Runnable onClosed, int retriesLeft) {
    AcceptResult result = AcceptResult.ONE;
    for (int i = 0; i <= BACKLOG && result == AcceptResult.ONE; i++) {
      result = acceptOne();
    }
    if (result == AcceptResult.FAILED && retriesLeft > 0) {
      net.timers().after(RETRY_DELAY_MAX, () -> acceptBacklogAndClose(onClosed, retriesLeft - 1));
      return;
    }
    IoUtils.safeClose(acceptingChannel);
    onClosed.run();
  }

  /**
   * Closes all open connections accepted here, after reading what has arrived. A connection closed with unread bytes is
   * reset by the kernel: its last answer would be lost, and a line that was not read would get no answer at all.
   */
  public void readAndCloseAll() {
    for (Link link : List.copyOf(openLinks)) {
      link.readNow();
      link.close();
    }
  }

  /**
   * Accepts a bounded number of connections per event-loop turn, so that open connections are served in between. With
   * clients that reconnect as soon as they are rejected, an unbounded loop never ran dry and nothing else was read.
   */
  private void acceptBatch() {
    AcceptResult result = AcceptResult.ONE;
    for (int i = 0; i < acceptsPerTurn && result == AcceptResult.ONE; i++) {
      result = acceptOne();
    }
    if (result == AcceptResult.FAILED) {
      acceptingChannel.suspendAccepts();
      net.timers().after(retryDelay, this::retryIfAccepting);
      retryDelay = Math.min(2 * retryDelay, RETRY_DELAY_MAX);
    }
  }

  private void retryIfAccepting() {
    if (accepting && acceptingChannel.isOpen()) {
      acceptingChannel.resumeAccepts();
    }
  }

  /** The result of accepting one connection. */
  private enum AcceptResult { ONE, NONE, FAILED }

  private AcceptResult acceptOne() {
    try {
      StreamConnection connection = acceptingChannel.isOpen() ? acceptingChannel.accept() : null;
      if (connection == null) {
        return acceptingChannel.isOpen() && OpenListener.clearFailure(acceptingChannel) ? AcceptResult.FAILED
            : AcceptResult.NONE;
      }
      retryDelay = RETRY_DELAY_FIRST;
      Link link = new Link(net, connection);
      openLinks.add(link);
      connection.setCloseListener(closed -> openLinks.remove(link));
      link.runGuarded(() -> onAccepted.accept(link));
      return AcceptResult.ONE;
    } catch (IOException e) {
      net.taskGuard().report("accepting a connection failed: " + e.getMessage());
      return AcceptResult.FAILED;
    }
  }
}
