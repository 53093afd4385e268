package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.claims.CasClaims;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.Claims;
import lemondeal.claims.MemoryStore;
import lemondeal.proxy.Site.Peer;
import lemondeal.resume.Key;
import lemondeal.resume.KeyRing;
import lemondeal.resume.ResumeSettings;
import lemondeal.resume.Resumption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What docs/RESUME-WIRE.md specifies, on real sockets. */
@Timeout(30)
class ResumeTest {
  private static final String RESUME = "c=chat,d=2000,g=g1,resume=1";

  /** Claims that are answered when the test says so; what is given back is noted. */
  private static final class HeldClaims implements Claims {
    final BlockingQueue<Consumer<ClaimAnswer>> asked = new LinkedBlockingQueue<>();
    final BlockingQueue<Claim> givenBack = new LinkedBlockingQueue<>();
    final BlockingQueue<Long> settled = new LinkedBlockingQueue<>();

    @Override
    public void claim(Claim claim, Consumer<ClaimAnswer> told) {
      asked.add(told);
    }

    @Override
    public void settle(Claim claim, long epoch) {
      settled.add(epoch);
    }

    @Override
    public void giveBack(Claim claim) {
      givenBack.add(claim);
    }

    @Override
    public void close() {
      asked.clear();
    }
  }

  private static KeyRing keys(String id) {
    return new KeyRing(id, List.of(new Key(id, Instant.EPOCH, new byte[Key.BYTES])));
  }

  private static ResumeSettings settings(int window, int most, long patience) {
    return new ResumeSettings(Set.of("chat"), 60_000, 2000, 100, window, most, 10_000, patience, 500);
  }

  private static Claims inMemory() {
    return new CasClaims(new MemoryStore(100, System::currentTimeMillis), System::currentTimeMillis);
  }

  private static Resumption resumption(Claims claims) {
    return new Resumption(settings(4, 100, 2000), keys("k1"), claims, "n0", System::currentTimeMillis);
  }

  private static Site site(Claims claims) throws IOException {
    return new Site(ProxyTest::sendOnce, resumption(claims));
  }

  /** A client with its server's side, and the token that it was given. */
  private record Session(Peer client, Peer server, String token, String open) {}

  private static Session begin(Site site) throws IOException {
    return answer(site, site.client(RESUME), "0", "RESUME new ");
  }

  private static Session answer(Site site, Peer client, String resumed, String expected) throws IOException {
    Peer server = site.atServer();
    String open = server.line();
    server.send("UP r1 resumed=" + resumed + "\r\n");
    assertEquals("UP r1 resumed=" + resumed, client.line());
    String line = client.line();
    assertTrue(line.startsWith(expected), line);
    return new Session(client, server, line.substring(expected.length()), open);
  }

  private static String with(String token, long got) {
    return RESUME + ",token=" + token + ",got=" + got;
  }

  private static String value(String open, String name) {
    return open.replaceAll(".*[ ,]" + name + "=([^,]*).*", "$1");
  }

  /** The next line that is no checkpoint. */
  private static String line(Peer client) throws IOException {
    String line = client.line();
    return line != null && line.startsWith("TOKEN ") ? line(client) : line;
  }

  @Test
  void aServersMoveCarriesATokenThatGoesOnElsewhere() throws Exception {
    try (Site site = site(inMemory())) {
      Session first = begin(site);
      assertTrue(first.open().matches("OPEN \\w+ \\w+ c=chat,d=\\d+,g=g1,session=[0-9a-f]{32},epoch=16,have=0"),
          first.open());
      first.client().send("order 1\r\norder 2\r\n");
      assertEquals("order 1", first.server().line());
      first.server().send("ACK 1\r\nprice 1\r\nLOAD 3\r\nprice 2\r\nMOVE\r\n").close();
      assertEquals("ACK 1", line(first.client()));
      assertEquals("price 1", line(first.client()));
      assertEquals("LOAD 3", line(first.client()));
      assertEquals("price 2", line(first.client()));
      String move = line(first.client());
      assertTrue(move.startsWith("MOVE 1.k1."), move);
      Peer again = site.client(with(move.substring("MOVE ".length()), 2));
      Session second = answer(site, again, "1", "RESUME at 1 ");
      assertEquals(value(first.open(), "session"), value(second.open(), "session"));
      assertEquals("32", value(second.open(), "epoch"));
      assertEquals("2", value(second.open(), "have"));
      assertFalse(second.open().contains("token") || second.open().contains("resume"), second.open());
      assertEquals("ERR used", site.client(with(first.token(), 2)).line(), "a token of the same connection is used too");
    }
  }

  /** Whoever has not asked, or is of another class or an open connection of before, must see what it always saw. */
  @Test
  void plainClientsPassUnchanged() throws Exception {
    try (Site site = site(inMemory())) {
      Peer client = site.client("c=chat,d=2000,token=abc,got=4");
      Peer server = site.atServer();
      assertTrue(server.line().endsWith(",token=abc,got=4"));
      server.send("UP r1\r\nACK 7\r\nMO").send("VE\r\n");
      for (String expected : List.of("UP r1", "ACK 7", "MOVE")) {
        assertEquals(expected, client.line());
      }
    }
  }

  @Test
  void aServerThatCannotResumeIsSaidSo() throws Exception {
    try (Site site = site(inMemory())) {
      Session first = begin(site);
      for (String open : List.of(RESUME, with(first.token(), 0))) {
        Peer client = site.client(open);
        Peer server = site.atServer();
        server.line();
        server.send("UP r9\r\nMOVE\r\n");
        assertEquals("UP r9", client.line());
        assertEquals("RESUME off server", client.line());
        assertEquals("MOVE", client.line());
      }
    }
  }

  /** A server that lacks what another one acknowledged would lose lines: it must not be passed on as up. */
  @Test
  void aServerThatIsBehindHasFailed() throws Exception {
    try (Site site = site(inMemory())) {
      Session first = begin(site);
      first.client().send("order 1\r\n");
      first.server().line();
      first.server().send("ACK 1\r\n");
      assertEquals("ACK 1", line(first.client()));
      String token = first.client().line();
      assertTrue(token.startsWith("TOKEN "), token);
      Peer client = site.client(with(token.substring("TOKEN ".length()), 0));
      Peer server = site.atServer();
      server.line();
      server.send("UP r2 resumed=0\r\n");
      assertEquals("BUSY 250", client.line());
      // Given back: the token is good still.
      answer(site, site.client(with(token.substring("TOKEN ".length()), 0)), "1", "RESUME at 1 ");
    }
  }

  @Test
  void eachBadTokenGetsItsAnswer() throws Exception {
    try (Site site = site(inMemory())) {
      String token = begin(site).token();
      assertEquals("ERR token", site.client(with("rubbish", 0)).line());
      assertEquals("ERR token", site.client(with(token.substring(0, token.length() - 2), 0)).line());
      assertEquals("ERR token", site.client(with(token, 0).replace("1.k1.C", "1.k1.D")).line());
      assertEquals("ERR got", site.client(RESUME + ",token=" + token).line());
      assertEquals("ERR got", site.client(with(token, 0).replace("got=0", "got=-1")).line());
      assertEquals("ERR other", site.client(with(token, 0).replace("g=g1", "g=g2")).line());
      answer(site, site.client(with(token.replaceFirst("k1", "k0"), 0)), "0", "RESUME anew key ");
      answer(site, site.client(with("9.what.ever.later", 0)), "0", "RESUME anew version ");
      answer(site, site.client(with(token, 0)), "0", "RESUME at 0 ");
      assertEquals(0, site.figure("failed.chat") - 6);
    }
  }

  @Test
  void keysRotateUnderStandingConnections() throws Exception {
    Resumption resumption = resumption(inMemory());
    try (Site site = new Site(ProxyTest::sendOnce, resumption)) {
      String before = begin(site).token();
      resumption.use(new KeyRing("k2", List.of(new Key("k2", Instant.EPOCH, new byte[Key.BYTES]),
          keys("k1").presentKey())));
      String after = answer(site, site.client(with(before, 0)), "0", "RESUME at 0 ").token();
      assertTrue(after.startsWith("1.k2."), after);
      resumption.use(keys("k1"));
      answer(site, site.client(with(after, 0)), "0", "RESUME anew key ");
    }
  }

  /** A silent store is no reason to keep a client waiting, and none to lose its token. */
  @Test
  void aSilentStoreThrottlesAtOnceAndALateGrantIsGivenBack() throws Exception {
    HeldClaims claims = new HeldClaims();
    Resumption resumption = new Resumption(settings(4, 100, 50), keys("k1"), claims, "n0", System::currentTimeMillis);
    try (Site site = new Site(ProxyTest::sendOnce, resumption)) {
      String token = begin(site).token();
      assertEquals("BUSY 500", site.client(with(token, 0)).line());
      claims.asked.poll(10, TimeUnit.SECONDS).accept(new ClaimAnswer.Granted(32));
      assertEquals(16, claims.givenBack.poll(10, TimeUnit.SECONDS).epoch());
      assertEquals(1, site.figure("resume.busy"));
      assertEquals(1, site.figure("in_flight"), "only the first connection is held");
    }
  }

  @Test
  void aClaimAnsweredAfterTheClientLeftIsGivenBack() throws Exception {
    HeldClaims claims = new HeldClaims();
    try (Site site = site(claims)) {
      Session first = begin(site);
      site.await(Established.class);
      Peer leaver = site.client(with(first.token(), 0));
      Consumer<ClaimAnswer> answer = claims.asked.poll(10, TimeUnit.SECONDS);
      leaver.socket.setSoLinger(true, 0);
      leaver.close();
      while (site.figure("in_flight") > 1) {
        Thread.onSpinWait();
      }
      answer.accept(new ClaimAnswer.Granted(32));
      assertEquals(16, claims.givenBack.poll(10, TimeUnit.SECONDS).epoch());
      assertTrue(site.events.stream().noneMatch(Arrived.class::isInstance), "the module never heard of it");
    }
  }

  /** Over its deadline a client is owed an answer, whatever the store does. */
  @Test
  void aClaimDoesNotOutlastTheDeadline() throws Exception {
    HeldClaims claims = new HeldClaims();
    try (Site site = site(claims)) {
      String token = begin(site).token();
      assertEquals("ERR", site.client(with(token, 0).replace("d=2000", "d=60")).line());
      claims.asked.poll(10, TimeUnit.SECONDS).accept(new ClaimAnswer.Granted(32));
      assertEquals(16, claims.givenBack.poll(10, TimeUnit.SECONDS).epoch());
    }
  }

  /** Each attempt has an epoch of its own; when all have failed the token is good again. */
  @Test
  void claimedAndThenTakenByNoServer() throws Exception {
    Function<Event, List<Action>> twice = event -> {
      if (event instanceof Ended e && !e.requestFinished() && e.attempt() == 0) {
        return List.of(new Send(e.id(), Site.SERVER, 0));
      }
      return event instanceof Ended e && !e.requestFinished() ? List.of(new Refuse(e.id(), 40_000)) : ProxyTest.sendOnce(event);
    };
    try (Site site = new Site(twice, resumption(inMemory()))) {
      String token = begin(site).token();
      Peer client = site.client(with(token, 0));
      for (String epoch : List.of("32", "33")) {
        Peer server = site.atServer();
        assertEquals(epoch, value(server.line(), "epoch"));
        server.send("BUSY\r\n");
      }
      assertEquals("BUSY 40", client.line());
      Session again = answer(site, site.client(with(token, 0)), "0", "RESUME at 0 ");
      assertEquals("48", value(again.open(), "epoch"));
    }
  }

  /** Two with one token at once: while one is under way the other is throttled, and never sent. */
  @Test
  void theSameTokenTwiceAtOnceIsOneAttempt() throws Exception {
    try (Site site = site(inMemory())) {
      String token = begin(site).token();
      Peer first = site.client(with(token, 0));
      Peer server = site.atServer();
      server.line();
      assertEquals("BUSY 500", site.client(with(token, 0)).line());
      server.send("UP r2 resumed=0\r\n");
      assertEquals("UP r2 resumed=0", first.line());
      assertTrue(first.line().startsWith("RESUME at 0 "));
      assertEquals("ERR used", site.client(with(token, 0)).line());
    }
  }

  /** What the client would have to keep must not grow without end, and it is told so. */
  @Test
  void aServerThatAcknowledgesNothingEndsTheSessionInSoManyWords() throws Exception {
    try (Site site = site(inMemory())) {
      Session session = begin(site);
      session.client().send("1\r\n2\r\n3\r\n4\r\n");
      for (int i = 1; i <= 4; i++) {
        assertEquals("" + i, session.server().line());
      }
      session.client().send("5\r\n");
      assertEquals("RESUME off window", line(session.client()));
      assertEquals("5", session.server().line());
      session.server().send("half a li").send("ne\r\nMOVE\r\n");
      assertEquals("half a line", session.client().line());
      assertEquals("MOVE", session.client().line());
    }
  }

  /** A session that ends inside a server's line: what had come of the line was kept back, and once got lost. */
  @Test
  void aSessionThatEndsInsideALineLosesNothingOfIt() throws Exception {
    try (Site site = site(inMemory())) {
      Session session = begin(site);
      session.server().send("whole\r\nhalf a li");
      assertEquals("whole", line(session.client()));
      session.client().send("1\r\n2\r\n3\r\n4\r\n5\r\n");
      assertEquals("RESUME off window", line(session.client()));
      session.server().send("ne\r\n");
      assertEquals("half a line", session.client().line());
    }
  }

  @Test
  void withoutRoomForOneMoreItIsToldSo() throws Exception {
    Resumption one = new Resumption(settings(4, 1, 2000), keys("k1"), inMemory(), "n0", System::currentTimeMillis);
    try (Site site = new Site(ProxyTest::sendOnce, one)) {
      Session first = begin(site);
      assertEquals("", answer(site, site.client(RESUME), "0", "RESUME off full").token());
      assertEquals("-", answer(site, site.client(with(first.token(), 0)), "0", "RESUME at 0 ").token());
      first.client().close();
      while (site.figure("resume.held") > 0) {
        Thread.onSpinWait();
      }
      begin(site);
    }
  }

  /** A move that comes in the middle of a server's line: the line is not passed on, and not counted. */
  @Test
  void aMoveInsideALineDropsTheHalfLine() throws Exception {
    Function<Event, List<Action>> moving = event -> event instanceof lemondeal.Balancer.LoadChanged e
        ? List.of(new Move(e.id())) : ProxyTest.sendOnce(event);
    try (Site site = new Site(moving, resumption(inMemory()))) {
      Session session = begin(site);
      session.server().send("price 1\r\nLOAD 5\r\npri");
      assertEquals("price 1", line(session.client()));
      assertEquals("LOAD 5", line(session.client()));
      String move = line(session.client());
      assertTrue(move.startsWith("MOVE "), move);
      assertNull(session.client().line());
      Peer again = site.client(with(move.substring("MOVE ".length()), 1));
      assertEquals("1", value(answer(site, again, "0", "RESUME at 0 ").open(), "have"));
      assertEquals("ERR got", site.client(with(move.substring("MOVE ".length()), 0)).line());
    }
  }

  /** Cut at any byte, both ways, the lines are whole and the counts right. */
  @Test
  void linesCutAnywhereAreCountedRight() throws Exception {
    Random random = new Random(31);
    try (Site site = site(inMemory())) {
      for (int round = 0; round < 12; round++) {
        Session session = begin(site);
        StringBuilder text = new StringBuilder();
        int data = 0;
        for (int i = 0; i < 40; i++) {
          boolean counts = random.nextBoolean();
          data += counts ? 1 : 0;
          text.append(counts ? "x".repeat(random.nextInt(300)) : "LOAD 1").append("\r\n");
        }
        text.append("MOVE\r\n");
        Thread writer = new Thread(() -> cut(session.server(), text.toString(), random.nextLong()));
        writer.start();
        StringBuilder came = new StringBuilder();
        String line = line(session.client());
        while (!line.startsWith("MOVE ")) {
          came.append(line).append("\r\n");
          line = line(session.client());
        }
        writer.join();
        assertEquals(text.toString(), came + "MOVE\r\n");
        String token = line.substring("MOVE ".length());
        assertEquals("ERR got", site.client(with(token, data - 1L)).line());
        answer(site, site.client(with(token, data)), "0", "RESUME at 0 ");
      }
    }
  }

  private static void cut(Peer peer, String text, long seed) {
    Random random = new Random(seed);
    try {
      for (int from = 0; from < text.length(); ) {
        int to = Math.min(text.length(), from + 1 + random.nextInt(200));
        peer.send(text.substring(from, to));
        from = to;
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
