package lemondeal.fleet.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.fleet.FleetMessage;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.FleetSettings;
import lemondeal.fleet.FleetTransport;
import lemondeal.fleet.MemberRow;
import lemondeal.log.EventLog;
import org.jgroups.stack.IpAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The JGroups transport on loopback, with configured members and unknown senders. */
@Timeout(120)
class JGroupsTransportTest {
  private static final EventLog SILENT = new EventLog() {
    @Override
    public void event(Level level, String name, String line, Object... fields) {
      // Ignored.
    }

    @Override
    public void failure(String line, Throwable failure) {
      // Ignored.
    }
  };

  private final List<FleetTransport> transports = new ArrayList<>();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final List<String> allEvents = new CopyOnWriteArrayList<>();
  private FleetRoster roster;

  @BeforeEach
  void createRosterOfThree() throws IOException {
    List<FleetRoster.Member> members = new ArrayList<>();
    List<ServerSocket> sockets = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      members.add(new FleetRoster.Member(name, "z", (InetSocketAddress) socket.getLocalSocketAddress()));
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    roster = new FleetRoster(members);
  }

  @AfterEach
  void close() {
    transports.forEach(FleetTransport::close);
  }

  private JGroupsTransport start(String name, long incarnation, FleetRoster fleet) throws IOException {
    JGroupsTransport transport = new JGroupsTransport(new FleetSettings(name, fleet, null, 2000, 200), name,
        incarnation, SILENT);
    transports.add(transport);
    transport.start(new FleetTransport.Listener() {
      @Override
      public void onMessage(String sender, byte[] message) {
        events.add(sender + ">" + name);
        allEvents.add(sender + ">" + name);
      }

      @Override
      public void onViewChange(String members) {
        events.add(name + " sees " + members);
        allEvents.add(name + " sees " + members);
      }
    });
    return transport;
  }

  private static FleetMessage message(String owner, int contentBytes) {
    return new FleetMessage(new MemberRow(owner, 1, 1, 0, new byte[contentBytes]), null);
  }

  /** Sends until a message is received: one may be lost while the other side is starting. */
  private void sendUntilReceived(FleetTransport from, String sender, String to, int contentBytes)
      throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < deadline) {
      from.sendLatest(to, message(sender, contentBytes));
      for (String event = events.poll(100, TimeUnit.MILLISECONDS); event != null; event = events.poll()) {
        if (event.equals(sender + ">" + to)) {
          return;
        }
      }
    }
    throw new AssertionError(to + " received nothing from " + sender);
  }

  private void awaitEvent(String expected) throws InterruptedException {
    for (String event = events.poll(60, TimeUnit.SECONDS); !expected.equals(event);
        event = events.poll(60, TimeUnit.SECONDS)) {
      assertTrue(event != null, "no event '" + expected + "'");
    }
  }

  private static long figure(FleetTransport transport, String name) {
    Map<String, Long> figures = new HashMap<>();
    transport.addTo(figures);
    return figures.get(name);
  }

  @Test
  void deliversAllSizesBothWaysAndAfterARestart() throws Exception {
    FleetTransport transportA = start("a", 1, roster);
    FleetTransport transportB = start("b", 1, roster);
    sendUntilReceived(transportA, "a", "b", 10);
    sendUntilReceived(transportB, "b", "a", MemberRow.MAX_CONTENT_BYTES);
    transportB.close();
    FleetTransport restartedB = start("b", 2, roster);
    sendUntilReceived(transportA, "a", "b", 10);
    sendUntilReceived(restartedB, "b", "a", 10);
    transportA.reconnect("b");
    sendUntilReceived(transportA, "a", "b", 10);
    assertTrue(figure(transportA, "fleet_bytes_sent") > 0);
  }

  @Test
  void jgroupsViewIncludesAllMembers() throws Exception {
    start("a", 1, roster);
    start("b", 1, roster);
    start("c", 1, roster);
    awaitEvent("a sees a b c");
  }

  @Test
  void unknownSendersAreIgnored() throws Exception {
    List<FleetRoster.Member> members = new ArrayList<>(roster.members());
    FleetTransport transportA = start("a", 1, new FleetRoster(members.subList(0, 2)));
    FleetTransport unknownSender = start("c", 1, roster);
    FleetTransport transportB = start("b", 1, roster);
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (figure(transportA, "fleet_strangers") < 20) {
      assertTrue(System.nanoTime() < deadline, "messages of the unknown sender arrive and are counted");
      unknownSender.sendLatest("a", message("c", 10));
      Thread.sleep(20);
    }
    sendUntilReceived(transportB, "b", "a", 10);
    assertTrue(allEvents.stream().noneMatch(event -> event.endsWith(">a") && !event.equals("b>a")),
        allEvents.toString());
    while (allEvents.stream().noneMatch(event -> event.startsWith("c sees c"))) {
      assertTrue(System.nanoTime() < deadline, "no member accepts it into its group: " + allEvents);
      Thread.sleep(20);
    }
    assertTrue(allEvents.stream().noneMatch(event -> event.startsWith("a sees") && event.contains("null")),
        allEvents.toString());
  }

  @Test
  void garbageAndIdleConnectionsAreBoundedAndTheFleetKeepsWorking() throws Exception {
    FleetTransport transportA = start("a", 1, roster);
    FleetTransport transportB = start("b", 1, roster);
    sendUntilReceived(transportB, "b", "a", 10);
    Random random = new Random(24);
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      Socket socket = new Socket();
      socket.connect(roster.member("a").address(), 5000);
      sockets.add(socket);
      try {
        sendGarbage(socket, random, i % 3);
      } catch (IOException e) {
        // The server closed the connection, as it should.
      }
    }
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (figure(transportA, "fleet_turned_away") == 0) {
      assertTrue(System.nanoTime() < deadline, "idle connections are limited");
      Thread.sleep(20);
    }
    sendUntilReceived(transportB, "b", "a", 10);
    sendUntilReceived(transportA, "a", "b", 10);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Sends nothing, random bytes, or JGroups' own handshake followed by random bytes with various length fields. */
  private static void sendGarbage(Socket socket, Random random, int kind) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    byte[] noise = new byte[200 + random.nextInt(2000)];
    random.nextBytes(noise);
    if (kind == 1) {
      out.write(noise);
    } else if (kind == 2) {
      sendHandshake(out, 1024 + random.nextInt(60_000));
      for (int length : new int[] {noise.length + 3, 3, random.nextInt(200)}) {
        out.writeInt(length);
        out.writeShort(org.jgroups.Version.version);
        out.writeByte(random.nextInt(4));
        out.write(noise, 0, Math.max(0, length - 3));
      }
      out.writeInt(random.nextInt());
      out.write(noise);
    }
    out.flush();
  }

  /** JGroups' handshake: the address of the sender. */
  private static void sendHandshake(DataOutputStream out, int port) throws IOException {
    IpAddress claimed = new IpAddress(new InetSocketAddress("127.0.0.1", port));
    out.write("bela".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    out.writeShort(org.jgroups.Version.version);
    out.writeShort(claimed.serializedSize());
    claimed.writeTo(out);
    out.flush();
  }

  @Test
  void newestConnectionOfAPeerReplacesTheOlder() throws Exception {
    start("a", 1, roster);
    try (Socket older = new Socket(); Socket newer = new Socket()) {
      older.setSoTimeout(30_000);
      for (Socket socket : List.of(older, newer)) {
        socket.connect(roster.member("a").address(), 5000);
        sendHandshake(new DataOutputStream(socket.getOutputStream()), 7);
      }
      assertEquals(-1, older.getInputStream().read(), "the older connection is closed");
    }
  }

  @Test
  void reportsAnAddressInUse() throws Exception {
    start("a", 1, roster);
    IOException e = assertThrows(IOException.class, () -> start("a", 1, roster));
    assertTrue(e.getMessage().startsWith("fleet.listen: 127.0.0.1:"), e.getMessage());
    assertEquals(2, transports.size());
  }
}
