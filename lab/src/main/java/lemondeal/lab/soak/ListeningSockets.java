package lemondeal.lab.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Reopens listening sockets at the address that they had before. */
final class ListeningSockets {
  private static final int MAX_BIND_RETRIES = 250;
  private static final long BIND_RETRY_DELAY_MILLIS = 20;

  private ListeningSockets() {}

  /**
   * Binds to the address, with retries: earlier connections, and other sockets that got the port meanwhile, may occupy
   * it for some seconds.
   */
  static ServerSocket rebind(InetSocketAddress address, int backlog) throws IOException {
    for (int i = 0; ; i++) {
      ServerSocket socket = new ServerSocket();
      try {
        socket.setReuseAddress(true);
        socket.bind(address, backlog);
        return socket;
      } catch (BindException e) {
        socket.close();
        if (i == MAX_BIND_RETRIES) {
          throw e;
        }
        Threads.sleepMillis(BIND_RETRY_DELAY_MILLIS);
      }
    }
  }
}
