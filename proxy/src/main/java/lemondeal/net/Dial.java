package lemondeal.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** A connection being opened. Reports its result once, on the I/O thread, unless it was cancelled. */
public final class Dial {
  private final Net net;
  private final Consumer<Link> onConnected;
  private final Runnable onFailed;
  private IoFuture<StreamConnection> future;
  private Timers.Timer timeout;
  private boolean finished;

  Dial(Net net, Consumer<Link> onConnected, Runnable onFailed) {
    this.net = net;
    this.onConnected = onConnected;
    this.onFailed = onFailed;
  }

  void start(InetSocketAddress address, long timeoutMicros) {
    timeout = net.timers().after(timeoutMicros, this::onTimeout);
    future = net.open(address);
    future.addNotifier((result, unused) -> net.execute(() -> onConnectResult(result)), null);
  }

  /**
   * Waits a little longer before it fails. The proxy itself may have been paused, as in its first second on a
   * fraction of a core: the connection may be established with its event not processed yet, and its server would be
   * taken for dead.
   */
  private void onTimeout() {
    timeout = net.timers().after(net.limits().pauseAllowance(), this::fail);
  }

  /** Cancels the attempt; no callback runs any more. */
  public void cancel() {
    if (!finished) {
      finished = true;
      Timers.cancel(timeout);
      future.cancel();
    }
  }

  private void onConnectResult(IoFuture<? extends StreamConnection> result) {
    if (result.getStatus() != IoFuture.Status.DONE) {
      fail();
      return;
    }
    try {
      if (finished) {
        // The connection was established while it was being cancelled.
        IoUtils.safeClose(result.get());
        return;
      }
      finished = true;
      timeout.cancel();
      Link link = new Link(net, result.get());
      link.runGuarded(() -> onConnected.accept(link));
    } catch (IOException e) {
      fail();
    }
  }

  private void fail() {
    if (!finished) {
      cancel();
      onFailed.run();
    }
  }
}
