package lemondeal.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/** Finds addresses for processes that are started, or started again, later. */
public final class UnusedAddress {
  private UnusedAddress() {}

  /**
   * Returns an address with an unused port. As the host is used by nobody else, no other socket gets the port in the
   * meantime: ports that the system assigns are unique for each host only.
   *
   * @param host a loopback address that no other process of the test uses
   * @throws IOException if the host is not an address of this machine
   */
  public static InetSocketAddress on(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return (InetSocketAddress) socket.getLocalSocketAddress();
    }
  }
}
