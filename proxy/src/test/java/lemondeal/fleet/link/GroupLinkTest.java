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
import lemondeal.fleet.FleetLink;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.FleetSettings;
import lemondeal.fleet.Letter;
import lemondeal.fleet.Row;
import lemondeal.log.EventLog;
import org.jgroups.stack.IpAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The library's transport on loopback, among proxies and among strangers. */
@Timeout(120)
class GroupLinkTest {
  private static final EventLog SILENT = new EventLog() {
    @Override
    public void event(Level level, String name, String line, Object... fields) {
      // Nobody reads it.
    }

    @Override
    public void failure(String line, Throwable failure) {
      // Nobody reads it.
    }
  };

  private final List<FleetLink> links = new ArrayList<>();
  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
  private final List<String> said = new CopyOnWriteArrayList<>();
  private FleetRoster roster;

  @BeforeEach
  void nameThree() throws IOException {
    List<FleetRoster.Named> named = new ArrayList<>();
    List<ServerSocket> held = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      held.add(socket);
      named.add(new FleetRoster.Named(name, "z", (InetSocketAddress) socket.getLocalSocketAddress()));
    }
    for (ServerSocket socket : held) {
      socket.close();
    }
    roster = new FleetRoster(named);
  }

  @AfterEach
  void close() {
    links.forEach(FleetLink::close);
  }

  private GroupLink start(String name, long incarnation, FleetRoster of) throws IOException {
    GroupLink link = new GroupLink(new FleetSettings(name, of, null, 2000, 200), name, incarnation, SILENT);
    links.add(link);
    link.start(new FleetLink.Ear() {
      @Override
      public void heard(String sender, byte[] letter) {
        heard.add(sender + ">" + name);
        said.add(sender + ">" + name);
      }

      @Override
      public void group(String members) {
        heard.add(name + " sees " + members);
        said.add(name + " sees " + members);
      }
    });
    return link;
  }

  private static Letter letter(String owner, int bytes) {
    return new Letter(new Row(owner, 1, 1, 0, new byte[bytes]), null);
  }

  /** Tells until it is heard: a letter may be lost while the other is about to start. */
  private void tellUntilHeard(FleetLink from, String sender, String to, int bytes) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < until) {
      from.tell(to, letter(sender, bytes));
      for (String what = heard.poll(100, TimeUnit.MILLISECONDS); what != null; what = heard.poll()) {
        if (what.equals(sender + ">" + to)) {
          return;
        }
      }
    }
    throw new AssertionError(to + " did not hear " + sender);
  }

  private void await(String what) throws InterruptedException {
    for (String next = heard.poll(60, TimeUnit.SECONDS); !what.equals(next); next = heard.poll(60, TimeUnit.SECONDS)) {
      assertTrue(next != null, "nobody said '" + what + "'");
    }
  }

  private static long figure(FleetLink link, String name) {
    Map<String, Long> figures = new HashMap<>();
    link.addTo(figures);
    return figures.get(name);
  }

  @Test
  void lettersOfAllSizesGoBothWaysAndARestartIsHeard() throws Exception {
    FleetLink a = start("a", 1, roster);
    FleetLink b = start("b", 1, roster);
    tellUntilHeard(a, "a", "b", 10);
    tellUntilHeard(b, "b", "a", Row.MOST_CONTENT);
    b.close();
    FleetLink again = start("b", 2, roster);
    tellUntilHeard(a, "a", "b", 10);
    tellUntilHeard(again, "b", "a", 10);
    a.redial("b");
    tellUntilHeard(a, "a", "b", 10);
    assertTrue(figure(a, "fleet_bytes_sent") > 0);
  }

  @Test
  void theLibrarysGroupFindsAllThree() throws Exception {
    start("a", 1, roster);
    start("b", 1, roster);
    start("c", 1, roster);
    await("a sees a b c");
  }

  @Test
  void whoIsNotNamedIsNotHeard() throws Exception {
    List<FleetRoster.Named> two = new ArrayList<>(roster.members());
    FleetLink a = start("a", 1, new FleetRoster(two.subList(0, 2)));
    FleetLink stranger = start("c", 1, roster);
    FleetLink b = start("b", 1, roster);
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (figure(a, "fleet_strangers") < 20) {
      assertTrue(System.nanoTime() < until, "the stranger's letters come and are counted");
      stranger.tell("a", letter("c", 10));
      Thread.sleep(20);
    }
    tellUntilHeard(b, "b", "a", 10);
    assertTrue(said.stream().noneMatch(what -> what.endsWith(">a") && !what.equals("b>a")), said.toString());
    while (said.stream().noneMatch(what -> what.startsWith("c sees c"))) {
      assertTrue(System.nanoTime() < until, "it finds nobody that takes it in: " + said);
      Thread.sleep(20);
    }
    assertTrue(said.stream().noneMatch(what -> what.startsWith("a sees") && what.contains("null")), said.toString());
  }

  @Test
  void garbageAndIdleStrangersAreBoundedAndTheFleetGoesOn() throws Exception {
    FleetLink a = start("a", 1, roster);
    FleetLink b = start("b", 1, roster);
    tellUntilHeard(b, "b", "a", 10);
    Random random = new Random(24);
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      Socket socket = new Socket();
      socket.connect(roster.member("a").address(), 5000);
      sockets.add(socket);
      try {
        garbage(socket, random, i % 3);
      } catch (IOException e) {
        // Closed on it: so it should be.
      }
    }
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (figure(a, "fleet_turned_away") == 0) {
      assertTrue(System.nanoTime() < until, "idle strangers have a bound");
      Thread.sleep(20);
    }
    tellUntilHeard(b, "b", "a", 10);
    tellUntilHeard(a, "a", "b", 10);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Nothing at all; noise; or the library's own greeting with noise behind it, lengths of all kinds among it. */
  private static void garbage(Socket socket, Random random, int kind) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    byte[] noise = new byte[200 + random.nextInt(2000)];
    random.nextBytes(noise);
    if (kind == 1) {
      out.write(noise);
    } else if (kind == 2) {
      greet(out, 1024 + random.nextInt(60_000));
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

  /** What the library says first: who it is. */
  private static void greet(DataOutputStream out, int port) throws IOException {
    IpAddress claimed = new IpAddress(new InetSocketAddress("127.0.0.1", port));
    out.write("bela".getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    out.writeShort(org.jgroups.Version.version);
    out.writeShort(claimed.serializedSize());
    claimed.writeTo(out);
    out.flush();
  }

  @Test
  void theNewestConnectionOfAPeerTakesTheOldOnesPlace() throws Exception {
    start("a", 1, roster);
    try (Socket old = new Socket(); Socket fresh = new Socket()) {
      old.setSoTimeout(30_000);
      for (Socket socket : List.of(old, fresh)) {
        socket.connect(roster.member("a").address(), 5000);
        greet(new DataOutputStream(socket.getOutputStream()), 7);
      }
      assertEquals(-1, old.getInputStream().read(), "a dead one would hold its place for ever");
    }
  }

  @Test
  void anAddressThatIsTakenIsSaid() throws Exception {
    start("a", 1, roster);
    IOException e = assertThrows(IOException.class, () -> start("a", 1, roster));
    assertTrue(e.getMessage().startsWith("fleet.listen: 127.0.0.1:"), e.getMessage());
    assertEquals(2, links.size());
  }
}
