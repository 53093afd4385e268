package lemondeal.fleet.link;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import lemondeal.fleet.FleetMessage;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.FleetSettings;
import lemondeal.fleet.FleetTransport;
import lemondeal.log.EventLog;
import org.jgroups.BytesMessage;
import org.jgroups.JChannel;
import org.jgroups.Message;
import org.jgroups.PhysicalAddress;
import org.jgroups.Receiver;
import org.jgroups.View;
import org.jgroups.logging.LogFactory;
import org.jgroups.protocols.FD_ALL3;
import org.jgroups.protocols.MERGE3;
import org.jgroups.protocols.TCPPING;
import org.jgroups.protocols.UNICAST3;
import org.jgroups.protocols.VERIFY_SUSPECT2;
import org.jgroups.protocols.pbcast.GMS;
import org.jgroups.protocols.pbcast.NAKACK2;
import org.jgroups.protocols.pbcast.STABLE;
import org.jgroups.util.NameCache;

/**
 * Sends messages by JGroups, over TCP to the addresses in the operator's file. They bypass JGroups' retransmission,
 * which would store old rows for an unreachable proxy, and go to every configured proxy whether or not it is in the
 * JGroups group; see docs/FLEET-DESIGN.md. One thread joins the group and another sends; the I/O thread only queues the
 * newest message for each peer.
 */
public final class JGroupsTransport implements FleetTransport {
  private static final String CLUSTER = "lemondeal-fleet";
  /** Longest message of JGroups itself: the view of a group with 200 members. */
  private static final int MAX_JGROUPS_BYTES = 32 * 1024;
  private static final int SEND_BUFFERS = 4;
  private static final int MAX_THREADS = 4;
  private static final int JOIN_MILLIS = 500;
  private static final long REJOIN_MILLIS = 1_000;

  private record PendingMessage(FleetMessage message, long queuedNanos) {}

  private final FleetSettings settings;
  private final String self;
  private final long incarnation;
  private final JGroupsLog jgroupsLog;
  private final MemberAddresses memberAddresses;
  private final Map<String, PendingMessage> pendingByPeer = new ConcurrentHashMap<>();
  private final BlockingQueue<Runnable> tasks = new LinkedBlockingQueue<>();
  private final AtomicLong failedSends = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private FleetNioServer nioServer;
  private FleetTcp tcp;
  private JChannel channel;
  private volatile boolean closed;

  /** @throws IllegalArgumentException if two member names have the same hash */
  public JGroupsTransport(FleetSettings settings, String self, long incarnation, EventLog log) {
    this.settings = settings;
    this.self = self;
    this.incarnation = incarnation;
    jgroupsLog = new JGroupsLog(log);
    memberAddresses = new MemberAddresses(settings.roster());
  }

  @Override
  public void start(Listener listener) throws IOException {
    LogFactory.setCustomLogFactory(jgroupsLog);
    InetSocketAddress listen = settings.listen() != null ? settings.listen() : settings.roster().member(self).address();
    try {
      nioServer = new FleetNioServer(listen, settings.roster().size());
      nioServer.maxSendBuffers(SEND_BUFFERS).usePeerConnections(true);
      tcp = new FleetTcp(nioServer, memberAddresses);
      channel = createChannel(listen, listener);
    } catch (Exception e) {
      close();
      throw new IOException("fleet.listen: " + listen.getAddress().getHostAddress() + ":" + listen.getPort() + ": "
          + e.getMessage(), e);
    }
    startThread("fleet-join", this::join);
    startThread("fleet-send", this::send);
  }

  private void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private JChannel createChannel(InetSocketAddress listen, Listener listener) throws Exception {
    tcp.setBindAddress(listen.getAddress()).setBindPort(nioServer.port()).setPortRange(0).setBundlerType("no-bundler");
    tcp.setMaxLength(FleetMessage.MAX_BYTES + MAX_JGROUPS_BYTES);
    tcp.getThreadPool().setMinThreads(0).setMaxThreads(MAX_THREADS).setKeepAliveTime(10_000)
        .setIncreaseMaxSizeDynamically(false);
    long ttl = settings.ttlMillis();
    JChannel created = new JChannel(tcp, new TCPPING().setInitialHosts2(peerAddresses()).setPortRange(0),
        new MERGE3().setMinInterval(ttl).setMaxInterval(3 * ttl),
        new FD_ALL3().setInterval(ttl / 2).setTimeout(2 * ttl),
        new VERIFY_SUSPECT2().setTimeout(ttl / 2), new NAKACK2().useMcastXmit(false), new UNICAST3(), new STABLE(),
        new GMS().printLocalAddress(false).setJoinTimeout(JOIN_MILLIS).setLeaveTimeout(JOIN_MILLIS)
            .setMaxJoinAttempts(1));
    created.setName(self);
    created.setDiscardOwnMessages(true);
    created.addAddressGenerator(() -> MemberAddresses.logicalAddress(self, incarnation));
    created.setReceiver(new Receiver() {
      @Override
      public void receive(Message message) {
        // The transport passes on messages of configured members only.
        if (message.hasArray()) {
          listener.onMessage(memberAddresses.memberName(message.getSrc()), payload(message));
        }
      }

      @Override
      public void viewAccepted(View view) {
        listener.onViewChange(view.getMembers().stream().map(memberAddresses::memberName).map(String::valueOf).sorted()
            .collect(Collectors.joining(" ")));
      }
    });
    return created;
  }

  private static byte[] payload(Message message) {
    byte[] bytes = new byte[message.getLength()];
    System.arraycopy(message.getArray(), message.getOffset(), bytes, 0, bytes.length);
    return bytes;
  }

  private List<PhysicalAddress> peerAddresses() {
    return settings.roster().members().stream().map(FleetRoster.Member::name).filter(name -> !name.equals(self))
        .map(memberAddresses::physicalAddress).toList();
  }

  // ---- On its own threads --------------------------------------------------------------------

  /** Joining blocks until others answer; messages are sent meanwhile. */
  private void join() {
    while (!closed) {
      try {
        channel.connect(CLUSTER);
        return;
      } catch (Exception e) {
        jgroupsLog.warn("cannot join the group", e);
        waitBeforeRejoin();
      }
    }
  }

  private void waitBeforeRejoin() {
    try {
      Thread.sleep(REJOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closed = true;
    }
  }

  private void send() {
    try {
      while (!closed) {
        tasks.take().run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void sendLatest(String peer, FleetMessage message) {
    if (pendingByPeer.put(peer, new PendingMessage(message, System.nanoTime())) == null) {
      tasks.add(() -> send(peer));
    }
  }

  private void send(String peer) {
    PendingMessage pending = pendingByPeer.remove(peer);
    byte[] bytes = pending.message().encode((System.nanoTime() - pending.queuedNanos()) / 1_000_000);
    try {
      channel.send(new BytesMessage(memberAddresses.physicalAddress(peer), bytes)
          .setFlag(Message.Flag.NO_RELIABILITY, Message.Flag.NO_FC, Message.Flag.DONT_BUNDLE));
    } catch (Exception e) {
      // The peer is unreachable, or this proxy has not joined yet: the next message follows soon.
      failedSends.incrementAndGet();
    }
  }

  @Override
  public void reconnect(String peer) {
    tasks.add(() -> nioServer.closeConnection(memberAddresses.physicalAddress(peer)));
  }

  @Override
  public void addTo(Map<String, Long> figures) {
    figures.put("fleet_bytes_sent", tcp.bytesSent());
    figures.put("fleet_letters_failed", failedSends.get());
    figures.put("fleet_strangers", tcp.unknownSenders());
    figures.put("fleet_turned_away", nioServer.rejectedConnections());
    figures.put("fleet_transport_warnings", jgroupsLog.count());
  }

  @Override
  public void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    } else if (nioServer != null) {
      nioServer.stop();
    }
    threads.forEach(Thread::interrupt);
  }
}
