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
final class Door extends NioServer {
  private static final long HELLO_NANOS = 2_000_000_000L;
  private static final int STRANGERS = 16;

  /** IPv4 alone: the JDK's own default is a socket of both. */
  private static final class Sockets extends DefaultSocketFactory {
    @Override
    public SocketChannel createSocketChannel(String service) throws IOException {
      return SocketChannel.open(StandardProtocolFamily.INET);
    }

    @Override
    public ServerSocketChannel createServerSocketChannel(String service) throws IOException {
      return ServerSocketChannel.open(StandardProtocolFamily.INET);
    }
  }

  private final int most;
  /** On the selector's thread alone: connections accepted, and when. */
  private final Map<NioConnection, Long> accepted = new LinkedHashMap<>();
  private final Map<Address, Connection> newest = new HashMap<>();
  private final AtomicLong turnedAway = new AtomicLong();

  /** Binds the address. {@code members}: how many proxies the fleet has. */
  Door(InetSocketAddress listen, int members) throws Exception {
    super(new DefaultThreadFactory("fleet", true), new Sockets(), listen.getAddress(), listen.getPort(),
        listen.getPort(), null, 0, 0);
    most = 2 * members + STRANGERS;
  }

  int port() {
    return getChannel().socket().getLocalPort();
  }

  /** Connections that were closed since there were too many, or said nothing. */
  long turnedAway() {
    return turnedAway.get();
  }

  @Override
  protected void handleAccept(SelectionKey key) throws Exception {
    SocketChannel socket = channel.accept();
    if (socket == null) {
      return;
    }
    sweep();
    if (accepted.size() >= most) {
      turnedAway.incrementAndGet();
      Util.close(socket);
      return;
    }
    NioConnection connection = new NioConnection(socket, this);
    connection.key(socket.register(selector, SelectionKey.OP_READ, connection));
    accepted.put(connection, System.nanoTime());
  }

  /** Forgets what is closed, and closes what has not said who it is. */
  private void sweep() {
    long now = System.nanoTime();
    for (Iterator<Map.Entry<NioConnection, Long>> it = accepted.entrySet().iterator(); it.hasNext(); ) {
      Map.Entry<NioConnection, Long> one = it.next();
      if (one.getKey().peerAddress() == null && now - one.getValue() > HELLO_NANOS) {
        turnedAway.incrementAndGet();
        Util.close(one.getKey());
      }
      if (one.getKey().isClosed()) {
        newest.remove(one.getKey().peerAddress(), one.getKey());
        it.remove();
      }
    }
  }

  /** An accepted connection has said who it is: the newest of each counts, whichever side dialled first. */
  @Override
  public void addConnection(Address peer, Connection connection) throws Exception {
    Connection before = newest.put(peer, connection);
    if (before != null) {
      Util.close(before);
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
