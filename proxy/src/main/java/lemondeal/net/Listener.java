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
 * A listening socket, whose connections are accepted on the I/O thread. Beyond the limit they wait in the system's
 * queue until others have closed; of that queue nothing is held here, so that {@link #suspend} leaves all that was
 * not told yet to whoever else has the socket.
 */
public final class Listener {
  private static final int BACKLOG = 1024;
  /** Microseconds until accepting is tried again after a failure; doubled by each further one, up to the longest. */
  private static final long RETRY_DELAY_FIRST = 10_000;
  private static final long RETRY_DELAY_MAX = 80_000;
  /** How often the rest of the system's queue is tried for at a close: about a second of failures. */
  private static final int BACKLOG_RETRIES = 15;

  private final Net net;
  private final int acceptsPerTurn;
  private final Consumer<Link> onAccepted;
  private final AcceptingChannel<? extends StreamConnection> acceptingChannel;
  private final Set<Link> openLinks = new LinkedHashSet<>();
  private long retryDelay = RETRY_DELAY_FIRST;
  /** Whether connections are to be accepted, though a retry may be waited for. */
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

  /** A listening socket of this process's own. */
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
   * The listening socket that this process inherited as descriptor 0. It must never be closed: the JDK then puts
   * /dev/null in place of descriptors 0, 1 and 2, and the log would go silent.
   */
  public static ServerSocketChannel inherited() throws IOException {
    Channel channel = System.inheritedChannel();
    if (channel instanceof ServerSocketChannel listening) {
      return listening;
    }
    throw new IOException("descriptor 0 is no listening socket");
  }

  public InetSocketAddress address() {
    return acceptingChannel.getLocalAddress(InetSocketAddress.class);
  }

  /** Accepts from now on. */
  public void resume() {
    accepting = true;
    acceptingChannel.resumeAccepts();
  }

  /** Accepts nothing more; the socket stays open. */
  public void suspend() {
    accepting = false;
    acceptingChannel.suspendAccepts();
  }

  /**
   * Closes the socket, once all who wait in the system's queue are let in. Guards those who came while this process
   * was busy: the system resets whoever waits there, though their lines have been taken. No more are let in than that
   * queue holds: clients that come again as soon as they are turned away would keep it open without end. Where the
   * system fails to accept for a moment, it is tried again for about a second.
   *
   * @param closed run once the socket is closed
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
   * Ends all that was accepted here and is still open, after a last look at what has come. Guards the answers sent
   * last: the system resets a connection that its process leaves with unread bytes, and one whose line lay there
   * would get no answer at all.
   */
  public void readAndCloseAll() {
    for (Link link : List.copyOf(openLinks)) {
      link.readNow();
      link.close();
    }
  }

  /**
   * Lets connections in for one turn, and the others when all that is open has had its own. Guards against clients
   * that come again as soon as they are turned away: there was always one more, and nothing was read meanwhile.
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

  /** What came of accepting one connection. */
  private enum AcceptResult { ONE, NONE, FAILED }

  private AcceptResult acceptOne() {
    try {
      StreamConnection connection = acceptingChannel.isOpen() ? acceptingChannel.accept() : null;
      if (connection == null) {
        return acceptingChannel.isOpen() && OpenListener.clearFailure(acceptingChannel) ? AcceptResult.FAILED : AcceptResult.NONE;
      }
      retryDelay = RETRY_DELAY_FIRST;
      Link link = new Link(net, connection);
      openLinks.add(link);
      connection.setCloseListener(closed -> openLinks.remove(link));
      link.runGuarded(() -> onAccepted.accept(link));
      return AcceptResult.ONE;
    } catch (IOException e) {
      net.taskGuard().report("accepting failed: " + e.getMessage());
      return AcceptResult.FAILED;
    }
  }
}
