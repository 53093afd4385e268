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
import lemondeal.fleet.FleetLink;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.FleetSettings;
import lemondeal.fleet.Letter;
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
 * Letters by JGroups, over TCP to the addresses of the operator's file. They go past the library's retransmission,
 * which would keep old rows for a proxy that is away, and to each proxy that is named whether or not the library's
 * group holds it: docs/FLEET-DESIGN.md. Two threads of this class's own, one that joins and one that sends; the I/O
 * thread leaves the newest letter for each peer and goes on.
 */
public final class GroupLink implements FleetLink {
  private static final String CLUSTER = "lemondeal-fleet";
  /** Longest message of the library's own: a group's view with 200 members. */
  private static final int LIBRARY_BYTES = 32 * 1024;
  private static final int SEND_BUFFERS = 4;
  private static final int THREADS = 4;
  private static final int JOIN_MILLIS = 500;
  private static final long REJOIN_MILLIS = 1_000;

  private record Waiting(Letter letter, long sinceNanos) {}

  private final FleetSettings settings;
  private final String self;
  private final long incarnation;
  private final LibraryLog libraryLog;
  private final Identities identities;
  private final Map<String, Waiting> newest = new ConcurrentHashMap<>();
  private final BlockingQueue<Runnable> work = new LinkedBlockingQueue<>();
  private final AtomicLong failed = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private Door door;
  private FleetTcp transport;
  private JChannel channel;
  private volatile boolean closed;

  /** @throws IllegalArgumentException where two names of the fleet can't be told apart */
  public GroupLink(FleetSettings settings, String self, long incarnation, EventLog log) {
    this.settings = settings;
    this.self = self;
    this.incarnation = incarnation;
    libraryLog = new LibraryLog(log);
    identities = new Identities(settings.roster());
  }

  @Override
  public void start(Ear ear) throws IOException {
    LogFactory.setCustomLogFactory(libraryLog);
    InetSocketAddress listen = settings.listen() != null ? settings.listen() : settings.roster().member(self).address();
    try {
      door = new Door(listen, settings.roster().size());
      door.maxSendBuffers(SEND_BUFFERS).usePeerConnections(true);
      transport = new FleetTcp(door, identities);
      channel = channel(listen, ear);
    } catch (Exception e) {
      close();
      throw new IOException("fleet.listen: " + listen.getAddress().getHostAddress() + ":" + listen.getPort() + ": "
          + e.getMessage(), e);
    }
    thread("fleet-join", this::join);
    thread("fleet-send", this::send);
  }

  private void thread(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    threads.add(thread);
    thread.start();
  }

  private JChannel channel(InetSocketAddress listen, Ear ear) throws Exception {
    transport.setBindAddress(listen.getAddress()).setBindPort(door.port()).setPortRange(0).setBundlerType("no-bundler");
    transport.setMaxLength(Letter.MOST_BYTES + LIBRARY_BYTES);
    transport.getThreadPool().setMinThreads(0).setMaxThreads(THREADS).setKeepAliveTime(10_000)
        .setIncreaseMaxSizeDynamically(false);
    long life = settings.lifeMillis();
    JChannel made = new JChannel(transport, new TCPPING().setInitialHosts2(peers()).setPortRange(0),
        new MERGE3().setMinInterval(life).setMaxInterval(3 * life),
        new FD_ALL3().setInterval(life / 2).setTimeout(2 * life),
        new VERIFY_SUSPECT2().setTimeout(life / 2), new NAKACK2().useMcastXmit(false), new UNICAST3(), new STABLE(),
        new GMS().printLocalAddress(false).setJoinTimeout(JOIN_MILLIS).setLeaveTimeout(JOIN_MILLIS)
            .setMaxJoinAttempts(1));
    made.setName(self);
    made.setDiscardOwnMessages(true);
    made.addAddressGenerator(() -> Identities.address(self, incarnation));
    made.setReceiver(new Receiver() {
      @Override
      public void receive(Message message) {
        // The transport lets no sender through that is not named.
        if (message.hasArray()) {
          ear.heard(identities.name(message.getSrc()), bytes(message));
        }
      }

      @Override
      public void viewAccepted(View view) {
        ear.group(view.getMembers().stream().map(identities::name).map(String::valueOf).sorted()
            .collect(Collectors.joining(" ")));
      }
    });
    return made;
  }

  private static byte[] bytes(Message message) {
    byte[] bytes = new byte[message.getLength()];
    System.arraycopy(message.getArray(), message.getOffset(), bytes, 0, bytes.length);
    return bytes;
  }

  private List<PhysicalAddress> peers() {
    return settings.roster().members().stream().map(FleetRoster.Named::name).filter(name -> !name.equals(self))
        .map(identities::dialled).toList();
  }

  // ---- On threads of its own -----------------------------------------------------------------

  /** Joining waits for answers; letters go out meanwhile. */
  private void join() {
    while (!closed) {
      try {
        channel.connect(CLUSTER);
        return;
      } catch (Exception e) {
        libraryLog.warn("can't join", e);
        pause();
      }
    }
  }

  private void pause() {
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
        work.take().run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void tell(String peer, Letter letter) {
    if (newest.put(peer, new Waiting(letter, System.nanoTime())) == null) {
      work.add(() -> send(peer));
    }
  }

  private void send(String peer) {
    Waiting waiting = newest.remove(peer);
    byte[] bytes = waiting.letter().bytes((System.nanoTime() - waiting.sinceNanos()) / 1_000_000);
    try {
      channel.send(new BytesMessage(identities.dialled(peer), bytes)
          .setFlag(Message.Flag.NO_RELIABILITY, Message.Flag.NO_FC, Message.Flag.DONT_BUNDLE));
    } catch (Exception e) {
      // The peer is away, or this proxy is about to join: the next letter comes soon.
      failed.incrementAndGet();
    }
  }

  @Override
  public void redial(String peer) {
    work.add(() -> door.closeConnection(identities.dialled(peer)));
  }

  @Override
  public void addTo(Map<String, Long> figures) {
    figures.put("fleet_bytes_sent", transport.bytesSent());
    figures.put("fleet_letters_failed", failed.get());
    figures.put("fleet_strangers", transport.strangers());
    figures.put("fleet_turned_away", door.turnedAway());
    figures.put("fleet_transport_warnings", libraryLog.count());
  }

  @Override
  public void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    } else if (door != null) {
      door.stop();
    }
    threads.forEach(Thread::interrupt);
  }
}
