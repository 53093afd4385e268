package lemondeal.fleet.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.jgroups.Address;
import org.jgroups.blocks.cs.Connection;
import org.jgroups.blocks.cs.NioConnection;
import org.jgroups.blocks.cs.NioServer;
import org.jgroups.util.DefaultSocketFactory;
import org.jgroups.util.DefaultThreadFactory;
import org.jgroups.util.Util;

/**
 * JGroups' sockets, served by a single thread, with two additional rules. Accepted connections are only read from, and
 * dialled ones are only written to, so a connection that fails in one direction is replaced by the side that notices.
 * And connections of unidentified peers are limited in number and must identify themselves within a short time, for
 * which JGroups has no limit.
 */
final class FleetNioServer extends NioServer {
  private static final long HANDSHAKE_TIMEOUT_NANOS = 2_000_000_000L;
  private static final int EXTRA_CONNECTIONS = 16;

  /** Opens IPv4 sockets only; the JDK's default is a dual-stack socket. */
  private static final class Ipv4SocketFactory extends DefaultSocketFactory {
    @Override
    public SocketChannel createSocketChannel(String service) throws IOException {
      return SocketChannel.open(StandardProtocolFamily.INET);
    }

    @Override
    public ServerSocketChannel createServerSocketChannel(String service) throws IOException {
      return ServerSocketChannel.open(StandardProtocolFamily.INET);
    }
  }

  private final int maxConnections;
  /** Accepted connections and the time of each accept; used by the selector's thread only. */
  private final Map<NioConnection, Long> accepted = new LinkedHashMap<>();
  private final Map<Address, Connection> newestByPeer = new HashMap<>();
  private final AtomicLong rejectedConnections = new AtomicLong();

  /**
   * Binds the address.
   *
   * @param memberCount number of proxies in the fleet
   */
  FleetNioServer(InetSocketAddress listen, int memberCount) throws Exception {
    super(new DefaultThreadFactory("fleet", true), new Ipv4SocketFactory(), listen.getAddress(), listen.getPort(),
        listen.getPort(), null, 0, 0);
    maxConnections = 2 * memberCount + EXTRA_CONNECTIONS;
  }

  int port() {
    return getChannel().socket().getLocalPort();
  }

  /** Number of connections that were closed because there were too many or they did not identify themselves in time. */
  long rejectedConnections() {
    return rejectedConnections.get();
  }

  @Override
  protected void handleAccept(SelectionKey key) throws Exception {
    SocketChannel socket = channel.accept();
    if (socket == null) {
      return;
    }
    removeStaleConnections();
    if (accepted.size() >= maxConnections) {
      rejectedConnections.incrementAndGet();
      Util.close(socket);
      return;
    }
    NioConnection connection = new NioConnection(socket, this);
    connection.key(socket.register(selector, SelectionKey.OP_READ, connection));
    accepted.put(connection, System.nanoTime());
  }

  /** Removes closed connections, and closes those that have not identified themselves in time. */
  private void removeStaleConnections() {
    long now = System.nanoTime();
    for (Iterator<Map.Entry<NioConnection, Long>> iterator = accepted.entrySet().iterator(); iterator.hasNext(); ) {
      Map.Entry<NioConnection, Long> entry = iterator.next();
      if (entry.getKey().peerAddress() == null && now - entry.getValue() > HANDSHAKE_TIMEOUT_NANOS) {
        rejectedConnections.incrementAndGet();
        Util.close(entry.getKey());
      }
      if (entry.getKey().isClosed()) {
        newestByPeer.remove(entry.getKey().peerAddress(), entry.getKey());
        iterator.remove();
      }
    }
  }

  /**
   * Called when an accepted connection has identified itself: the newest connection of each peer is kept, whichever
   * side dialled first.
   */
  @Override
  public void addConnection(Address peer, Connection connection) throws Exception {
    Connection previous = newestByPeer.put(peer, connection);
    if (previous != null) {
      Util.close(previous);
    }
    connection.start();
  }

  @Override
  public synchronized void stop() {
    super.stop();
    // The selector's thread has ended, or ends without looking at these again.
    for (NioConnection connection : accepted.keySet().toArray(new NioConnection[0])) {
      Util.close(connection);
    }
  }
}
