package lemondeal.config;

import java.net.Inet6Address;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats {@code address:port}. */
public final class Addresses {
  private Addresses() {}

  public static String format(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return (address.getAddress() instanceof Inet6Address ? "[" + host + "]" : host) + ":" + address.getPort();
  }

  /** Parses a numeric address. Host names are rejected: there is no DNS, and a look-up would block the I/O thread. */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    if (!host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]")) {
      throw new IllegalArgumentException("'" + text + "' is no numeric address:port");
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw new IllegalArgumentException("'" + text + "' is no numeric address:port");
    }
  }
}
