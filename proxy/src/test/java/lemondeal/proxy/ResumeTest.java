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
import lemondeal.claims.CasClaimService;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.ClaimService;
import lemondeal.claims.MemoryStore;
import lemondeal.proxy.ProxyFixture.LineSocket;
import lemondeal.resume.Key;
import lemondeal.resume.KeyRing;
import lemondeal.resume.ResumeSettings;
import lemondeal.resume.ResumptionContext;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The resume protocol of docs/RESUME-WIRE.md on real sockets. */
@Timeout(30)
class ResumeTest {
  private static final String RESUME_FIELDS = "c=chat,d=2000,g=g1,resume=1";

  /** Claims that are answered when the test says so; returned claims are recorded. */
  private static final class ManualClaims implements ClaimService {
    final BlockingQueue<Consumer<ClaimAnswer>> pendingAnswers = new LinkedBlockingQueue<>();
    final BlockingQueue<Claim> returnedClaims = new LinkedBlockingQueue<>();
    final BlockingQueue<Long> settledEpochs = new LinkedBlockingQueue<>();

    @Override
    public void claim(Claim claim, Consumer<ClaimAnswer> onAnswer) {
      pendingAnswers.add(onAnswer);
    }

    @Override
    public void commit(Claim claim, long epoch) {
      settledEpochs.add(epoch);
    }

    @Override
    public void release(Claim claim) {
      returnedClaims.add(claim);
    }

    @Override
    public void close() {
      pendingAnswers.clear();
    }
  }

  private static KeyRing keys(String id) {
    return new KeyRing(id, List.of(new Key(id, Instant.EPOCH, new byte[Key.SECRET_BYTES])));
  }

  private static ResumeSettings settings(int window, int maxSessions, long claimTimeout) {
    return new ResumeSettings(Set.of("chat"), 60_000, 2000, 100, window, maxSessions, 10_000, claimTimeout, 500);
  }

  private static ClaimService inMemory() {
    return new CasClaimService(new MemoryStore(100, System::currentTimeMillis), System::currentTimeMillis);
  }

  private static ResumptionContext resumption(ClaimService claims) {
    return new ResumptionContext(settings(4, 100, 2000), keys("k1"), claims, "n0", System::currentTimeMillis);
  }

  private static ProxyFixture newFixture(ClaimService claims) throws IOException {
    return new ProxyFixture(ProxyTest::sendOnce, resumption(claims));
  }

  /** A client, its server's side, the token that the client was given, and the OPEN line that the server got. */
  private record Session(LineSocket client, LineSocket server, String token, String openLine) {}

  private static Session openSession(ProxyFixture fixture) throws IOException {
    return acceptAndAnswerUp(fixture, fixture.newClient(RESUME_FIELDS), "0", "RESUME new ");
  }

  private static Session acceptAndAnswerUp(ProxyFixture fixture, LineSocket client, String resumed, String expected)
      throws IOException {
    LineSocket server = fixture.acceptAtServer();
    String openLine = server.readLine();
    server.send("UP r1 resumed=" + resumed + "\r\n");
    assertEquals("UP r1 resumed=" + resumed, client.readLine());
    String line = client.readLine();
    assertTrue(line.startsWith(expected), line);
    return new Session(client, server, line.substring(expected.length()), openLine);
  }

  private static String resumeWith(String token, long receivedLines) {
    return RESUME_FIELDS + ",token=" + token + ",got=" + receivedLines;
  }

  private static String fieldValue(String openLine, String name) {
    return openLine.replaceAll(".*[ ,]" + name + "=([^,]*).*", "$1");
  }

  /** The next line that is not a TOKEN checkpoint. */
  private static String nextDataLine(LineSocket client) throws IOException {
    String line = client.readLine();
    return line != null && line.startsWith("TOKEN ") ? nextDataLine(client) : line;
  }

  @Test
  void aServersMoveCarriesATokenThatResumesElsewhere() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      Session first = openSession(fixture);
      assertTrue(first.openLine().matches("OPEN \\w+ \\w+ c=chat,d=\\d+,g=g1,session=[0-9a-f]{32},epoch=16,have=0"),
          first.openLine());
      first.client().send("order 1\r\norder 2\r\n");
      assertEquals("order 1", first.server().readLine());
      first.server().send("ACK 1\r\nprice 1\r\nLOAD 3\r\nprice 2\r\nMOVE\r\n").close();
      assertEquals("ACK 1", nextDataLine(first.client()));
      assertEquals("price 1", nextDataLine(first.client()));
      assertEquals("LOAD 3", nextDataLine(first.client()));
      assertEquals("price 2", nextDataLine(first.client()));
      String move = nextDataLine(first.client());
      assertTrue(move.startsWith("MOVE 1.k1."), move);
      LineSocket again = fixture.newClient(resumeWith(move.substring("MOVE ".length()), 2));
      Session second = acceptAndAnswerUp(fixture, again, "1", "RESUME at 1 ");
      assertEquals(fieldValue(first.openLine(), "session"), fieldValue(second.openLine(), "session"));
      assertEquals("32", fieldValue(second.openLine(), "epoch"));
      assertEquals("2", fieldValue(second.openLine(), "have"));
      assertFalse(second.openLine().contains("token") || second.openLine().contains("resume"), second.openLine());
      assertEquals("ERR used", fixture.newClient(resumeWith(first.token(), 2)).readLine(),
          "an earlier token of the same connection is used up as well");
    }
  }

  /** Clients that did not request resumption must see exactly what they saw without it. */
  @Test
  void plainClientsPassUnchanged() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      LineSocket client = fixture.newClient("c=chat,d=2000,token=abc,got=4");
      LineSocket server = fixture.acceptAtServer();
      assertTrue(server.readLine().endsWith(",token=abc,got=4"));
      server.send("UP r1\r\nACK 7\r\nMO").send("VE\r\n");
      for (String expected : List.of("UP r1", "ACK 7", "MOVE")) {
        assertEquals(expected, client.readLine());
      }
    }
  }

  @Test
  void clientsLearnThatAServerCannotResume() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      Session first = openSession(fixture);
      for (String openFields : List.of(RESUME_FIELDS, resumeWith(first.token(), 0))) {
        LineSocket client = fixture.newClient(openFields);
        LineSocket server = fixture.acceptAtServer();
        server.readLine();
        server.send("UP r9\r\nMOVE\r\n");
        assertEquals("UP r9", client.readLine());
        assertEquals("RESUME off server", client.readLine());
        assertEquals("MOVE", client.readLine());
      }
    }
  }

  /** A server that lacks lines acknowledged by another server would lose them: its UP must not be passed on. */
  @Test
  void aServerThatLacksAcknowledgedLinesHasFailed() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      Session first = openSession(fixture);
      first.client().send("order 1\r\n");
      first.server().readLine();
      first.server().send("ACK 1\r\n");
      assertEquals("ACK 1", nextDataLine(first.client()));
      String token = first.client().readLine();
      assertTrue(token.startsWith("TOKEN "), token);
      LineSocket client = fixture.newClient(resumeWith(token.substring("TOKEN ".length()), 0));
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      server.send("UP r2 resumed=0\r\n");
      assertEquals("BUSY 250", client.readLine());
      // The claim was returned: the token is still valid.
      acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(token.substring("TOKEN ".length()), 0)), "1",
          "RESUME at 1 ");
    }
  }

  @Test
  void eachBadTokenGetsItsAnswer() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      String token = openSession(fixture).token();
      assertEquals("ERR token", fixture.newClient(resumeWith("rubbish", 0)).readLine());
      assertEquals("ERR token", fixture.newClient(resumeWith(token.substring(0, token.length() - 2), 0)).readLine());
      assertEquals("ERR token", fixture.newClient(resumeWith(token, 0).replace("1.k1.C", "1.k1.D")).readLine());
      assertEquals("ERR got", fixture.newClient(RESUME_FIELDS + ",token=" + token).readLine());
      assertEquals("ERR got", fixture.newClient(resumeWith(token, 0).replace("got=0", "got=-1")).readLine());
      assertEquals("ERR other", fixture.newClient(resumeWith(token, 0).replace("g=g1", "g=g2")).readLine());
      acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(token.replaceFirst("k1", "k0"), 0)), "0",
          "RESUME anew key ");
      acceptAndAnswerUp(fixture, fixture.newClient(resumeWith("9.what.ever.later", 0)), "0", "RESUME anew version ");
      acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(token, 0)), "0", "RESUME at 0 ");
      assertEquals(0, fixture.metric("failed.chat") - 6);
    }
  }

  @Test
  void keysRotateUnderOpenConnections() throws Exception {
    ResumptionContext resumption = resumption(inMemory());
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, resumption)) {
      String before = openSession(fixture).token();
      resumption.replaceKeys(new KeyRing("k2", List.of(new Key("k2", Instant.EPOCH, new byte[Key.SECRET_BYTES]),
          keys("k1").presentKey())));
      String after = acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(before, 0)), "0", "RESUME at 0 ").token();
      assertTrue(after.startsWith("1.k2."), after);
      resumption.replaceKeys(keys("k1"));
      acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(after, 0)), "0", "RESUME anew key ");
    }
  }

  /** A store that does not answer must neither keep a client waiting nor cost it its token. */
  @Test
  void aSilentStoreThrottlesAtOnceAndALateGrantIsReturned() throws Exception {
    ManualClaims claims = new ManualClaims();
    ResumptionContext resumption =
        new ResumptionContext(settings(4, 100, 50), keys("k1"), claims, "n0", System::currentTimeMillis);
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, resumption)) {
      String token = openSession(fixture).token();
      assertEquals("BUSY 500", fixture.newClient(resumeWith(token, 0)).readLine());
      claims.pendingAnswers.poll(10, TimeUnit.SECONDS).accept(new ClaimAnswer.Granted(32));
      assertEquals(16, claims.returnedClaims.poll(10, TimeUnit.SECONDS).epoch());
      assertEquals(1, fixture.metric("resume.busy"));
      assertEquals(1, fixture.metric("in_flight"), "only the first connection has a slot");
    }
  }

  @Test
  void aClaimAnsweredAfterTheClientLeftIsReturned() throws Exception {
    ManualClaims claims = new ManualClaims();
    try (ProxyFixture fixture = newFixture(claims)) {
      Session first = openSession(fixture);
      fixture.awaitEvent(Established.class);
      LineSocket leaver = fixture.newClient(resumeWith(first.token(), 0));
      Consumer<ClaimAnswer> answer = claims.pendingAnswers.poll(10, TimeUnit.SECONDS);
      leaver.socket.setSoLinger(true, 0);
      leaver.close();
      while (fixture.metric("in_flight") > 1) {
        Thread.onSpinWait();
      }
      answer.accept(new ClaimAnswer.Granted(32));
      assertEquals(16, claims.returnedClaims.poll(10, TimeUnit.SECONDS).epoch());
      assertTrue(fixture.events.stream().noneMatch(Arrived.class::isInstance), "the module must not see the request");
    }
  }

  /** A client must be answered at its deadline, whatever the store does. */
  @Test
  void aClaimDoesNotOutlastTheDeadline() throws Exception {
    ManualClaims claims = new ManualClaims();
    try (ProxyFixture fixture = newFixture(claims)) {
      String token = openSession(fixture).token();
      assertEquals("ERR", fixture.newClient(resumeWith(token, 0).replace("d=2000", "d=60")).readLine());
      claims.pendingAnswers.poll(10, TimeUnit.SECONDS).accept(new ClaimAnswer.Granted(32));
      assertEquals(16, claims.returnedClaims.poll(10, TimeUnit.SECONDS).epoch());
    }
  }

  /** Each attempt has its own epoch; when all have failed the token is valid again. */
  @Test
  void aClaimIsReturnedWhenAllAttemptsFail() throws Exception {
    Function<Event, List<Action>> sendTwice = event -> {
      if (event instanceof Ended e && !e.requestFinished() && e.attempt() == 0) {
        return List.of(new Send(e.id(), ProxyFixture.SERVER, 0));
      }
      return event instanceof Ended e && !e.requestFinished() ? List.of(new Refuse(e.id(), 40_000))
          : ProxyTest.sendOnce(event);
    };
    try (ProxyFixture fixture = new ProxyFixture(sendTwice, resumption(inMemory()))) {
      String token = openSession(fixture).token();
      LineSocket client = fixture.newClient(resumeWith(token, 0));
      for (String epoch : List.of("32", "33")) {
        LineSocket server = fixture.acceptAtServer();
        assertEquals(epoch, fieldValue(server.readLine(), "epoch"));
        server.send("BUSY\r\n");
      }
      assertEquals("BUSY 40", client.readLine());
      Session again = acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(token, 0)), "0", "RESUME at 0 ");
      assertEquals("48", fieldValue(again.openLine(), "epoch"));
    }
  }

  /** Two clients with one token at once: while one is in progress the other is throttled and never sent. */
  @Test
  void theSameTokenTwiceAtOnceIsOneAttempt() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      String token = openSession(fixture).token();
      LineSocket first = fixture.newClient(resumeWith(token, 0));
      LineSocket server = fixture.acceptAtServer();
      server.readLine();
      assertEquals("BUSY 500", fixture.newClient(resumeWith(token, 0)).readLine());
      server.send("UP r2 resumed=0\r\n");
      assertEquals("UP r2 resumed=0", first.readLine());
      assertTrue(first.readLine().startsWith("RESUME at 0 "));
      assertEquals("ERR used", fixture.newClient(resumeWith(token, 0)).readLine());
    }
  }

  /** The client's buffer of unacknowledged lines must be bounded: resumption ends, and the client is told so. */
  @Test
  void aServerThatAcknowledgesNothingEndsTheSession() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      Session session = openSession(fixture);
      session.client().send("1\r\n2\r\n3\r\n4\r\n");
      for (int i = 1; i <= 4; i++) {
        assertEquals("" + i, session.server().readLine());
      }
      session.client().send("5\r\n");
      assertEquals("RESUME off window", nextDataLine(session.client()));
      assertEquals("5", session.server().readLine());
      session.server().send("half a li").send("ne\r\nMOVE\r\n");
      assertEquals("half a line", session.client().readLine());
      assertEquals("MOVE", session.client().readLine());
    }
  }

  /** Guards against losing the withheld first part of a server's line when the session ends within that line. */
  @Test
  void aSessionThatEndsMidLineLosesNothingOfTheLine() throws Exception {
    try (ProxyFixture fixture = newFixture(inMemory())) {
      Session session = openSession(fixture);
      session.server().send("whole\r\nhalf a li");
      assertEquals("whole", nextDataLine(session.client()));
      session.client().send("1\r\n2\r\n3\r\n4\r\n5\r\n");
      assertEquals("RESUME off window", nextDataLine(session.client()));
      session.server().send("ne\r\n");
      assertEquals("half a line", session.client().readLine());
    }
  }

  @Test
  void aSessionBeyondTheLimitIsAnsweredFull() throws Exception {
    ResumptionContext resumptionForOne =
        new ResumptionContext(settings(4, 1, 2000), keys("k1"), inMemory(), "n0", System::currentTimeMillis);
    try (ProxyFixture fixture = new ProxyFixture(ProxyTest::sendOnce, resumptionForOne)) {
      Session first = openSession(fixture);
      assertEquals("", acceptAndAnswerUp(fixture, fixture.newClient(RESUME_FIELDS), "0", "RESUME off full").token());
      assertEquals("-", acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(first.token(), 0)), "0",
          "RESUME at 0 ").token());
      first.client().close();
      while (fixture.metric("resume.held") > 0) {
        Thread.onSpinWait();
      }
      openSession(fixture);
    }
  }

  /** At a move in the middle of a server's line that line is neither passed on nor counted. */
  @Test
  void aMoveInsideALineDropsTheHalfLine() throws Exception {
    Function<Event, List<Action>> moving = event -> event instanceof lemondeal.Balancer.LoadChanged e
        ? List.of(new Move(e.id())) : ProxyTest.sendOnce(event);
    try (ProxyFixture fixture = new ProxyFixture(moving, resumption(inMemory()))) {
      Session session = openSession(fixture);
      session.server().send("price 1\r\nLOAD 5\r\npri");
      assertEquals("price 1", nextDataLine(session.client()));
      assertEquals("LOAD 5", nextDataLine(session.client()));
      String move = nextDataLine(session.client());
      assertTrue(move.startsWith("MOVE "), move);
      assertNull(session.client().readLine());
      LineSocket again = fixture.newClient(resumeWith(move.substring("MOVE ".length()), 1));
      assertEquals("1", fieldValue(acceptAndAnswerUp(fixture, again, "0", "RESUME at 0 ").openLine(), "have"));
      assertEquals("ERR got", fixture.newClient(resumeWith(move.substring("MOVE ".length()), 0)).readLine());
    }
  }

  /** However the byte stream is split, lines stay whole and the counts are right. */
  @Test
  void linesInAnyPiecesAreCountedCorrectly() throws Exception {
    Random random = new Random(31);
    try (ProxyFixture fixture = newFixture(inMemory())) {
      for (int round = 0; round < 12; round++) {
        Session session = openSession(fixture);
        StringBuilder text = new StringBuilder();
        int dataLines = 0;
        for (int i = 0; i < 40; i++) {
          boolean isData = random.nextBoolean();
          dataLines += isData ? 1 : 0;
          text.append(isData ? "x".repeat(random.nextInt(300)) : "LOAD 1").append("\r\n");
        }
        text.append("MOVE\r\n");
        Thread writer = new Thread(() -> sendInPieces(session.server(), text.toString(), random.nextLong()));
        writer.start();
        StringBuilder received = new StringBuilder();
        String line = nextDataLine(session.client());
        while (!line.startsWith("MOVE ")) {
          received.append(line).append("\r\n");
          line = nextDataLine(session.client());
        }
        writer.join();
        assertEquals(text.toString(), received + "MOVE\r\n");
        String token = line.substring("MOVE ".length());
        assertEquals("ERR got", fixture.newClient(resumeWith(token, dataLines - 1L)).readLine());
        acceptAndAnswerUp(fixture, fixture.newClient(resumeWith(token, dataLines)), "0", "RESUME at 0 ");
      }
    }
  }

  private static void sendInPieces(LineSocket connection, String text, long seed) {
    Random random = new Random(seed);
    try {
      for (int start = 0; start < text.length(); ) {
        int end = Math.min(text.length(), start + 1 + random.nextInt(200));
        connection.send(text.substring(start, end));
        start = end;
      }
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
