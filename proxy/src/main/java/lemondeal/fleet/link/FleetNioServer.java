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
 * The library's sockets, one thread for all, with two rules of the fleet's own. What is accepted is only read, what is
 * dialled is only written to: a connection that went dead one way is replaced from the side that notices. And strangers
 * are bounded: so many connections at once, and a short while to say who they are, where the library has no bound.
 */
final class FleetNioServer extends NioServer {
  private static final long HANDSHAKE_TIMEOUT_NANOS = 2_000_000_000L;
  private static final int EXTRA_CONNECTIONS = 16;

  /** IPv4 alone: the JDK's own default is a socket of both. */
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
  /** On the selector's thread alone: connections accepted, and when. */
  private final Map<NioConnection, Long> accepted = new LinkedHashMap<>();
  private final Map<Address, Connection> newestByPeer = new HashMap<>();
  private final AtomicLong rejectedConnections = new AtomicLong();

  /** Binds the address. {@code members}: how many proxies the fleet has. */
  FleetNioServer(InetSocketAddress listen, int memberCount) throws Exception {
    super(new DefaultThreadFactory("fleet", true), new Ipv4SocketFactory(), listen.getAddress(), listen.getPort(),
        listen.getPort(), null, 0, 0);
    maxConnections = 2 * memberCount + EXTRA_CONNECTIONS;
  }

  int port() {
    return getChannel().socket().getLocalPort();
  }

  /** Connections that were closed since there were too many, or said nothing. */
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

  /** Forgets what is closed, and closes what has not said who it is. */
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

  /** An accepted connection has said who it is: the newest of each counts, whichever side dialled first. */
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
    // The selector's thread has ended, or ends without another look at these.
    for (NioConnection connection : accepted.keySet().toArray(new NioConnection[0])) {
      Util.close(connection);
    }
  }
}
