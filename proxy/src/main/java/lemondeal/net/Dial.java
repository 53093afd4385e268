package lemondeal.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** A connection being opened. Tells its outcome once, on the I/O thread, unless it was called off. */
public final class Dial {
  private final Net net;
  private final Consumer<Link> connected;
  private final Runnable failed;
  private IoFuture<StreamConnection> future;
  private Timers.Timer timeout;
  private boolean over;

  Dial(Net net, Consumer<Link> connected, Runnable failed) {
    this.net = net;
    this.connected = connected;
    this.failed = failed;
  }

  void start(InetSocketAddress address, long micros) {
    timeout = net.timers().after(micros, this::late);
    future = net.open(address);
    future.addNotifier((result, unused) -> net.later(() -> settled(result)), null);
  }

  /**
   * Looks again a moment later. Guards against a pause of the proxy itself, as in its first second on part of a core:
   * the connection may have come up meanwhile and only not been seen, and its server would be taken for dead.
   */
  private void late() {
    timeout = net.timers().after(net.limits().moment(), this::fail);
  }

  /** Calls the dial off; nothing is told any more. */
  public void cancel() {
    if (!over) {
      over = true;
      Timers.cancel(timeout);
      future.cancel();
    }
  }

  private void settled(IoFuture<? extends StreamConnection> result) {
    if (result.getStatus() != IoFuture.Status.DONE) {
      fail();
      return;
    }
    try {
      if (over) {
        // The connection came up in the moment in which it was called off.
        IoUtils.safeClose(result.get());
        return;
      }
      over = true;
      timeout.cancel();
      Link link = new Link(net, result.get());
      link.guarded(() -> connected.accept(link));
    } catch (IOException e) {
      fail();
    }
  }

  private void fail() {
    if (!over) {
      cancel();
      failed.run();
    }
  }
}
