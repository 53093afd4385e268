package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Runs XNIO's server on a listening socket that is already open. XNIO's public API binds every listener itself and
 * cannot use an inherited socket; its server class can, but is accessible only in this package. The server is also
 * configured to accept on the I/O thread: with the public API a separate thread accepts ahead into a queue, and
 * connections in that queue cannot be told from those in the kernel's queue when accepting has to stop at once.
 */
public final class OpenListener {
  private OpenListener() {}

  /** Creates a suspended server on a channel, which must be bound and non-blocking. */
  public static AcceptingChannel<? extends StreamConnection> serve(XnioWorker worker, ServerSocketChannel channel,
      ChannelListener<? super AcceptingChannel<StreamConnection>> ready, OptionMap options) throws IOException {
    NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, channel, options, false);
    server.setAcceptListener(ready);
    return server;
  }

  /**
   * Returns whether the last accept failed because the system ran out of descriptors or memory. XNIO only logs such a
   * failure and then backs off: it accepts nothing for 0.25 s, four times as long after each further failure, up to
   * 30 s. This method ends the back-off, since the caller retries by itself. Must be called on the I/O thread.
   */
  public static boolean clearFailure(AcceptingChannel<? extends StreamConnection> server) {
    NioTcpServerHandle handle = ((NioTcpServer) server).getHandle(0);
    if (handle.getBackOffTime() == 0) {
      return false;
    }
    handle.resetBackOff();
    handle.endBackOff();
    return true;
  }
}
