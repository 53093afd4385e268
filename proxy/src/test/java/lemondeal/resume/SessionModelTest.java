package lemondeal.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import lemondeal.claims.CasClaimService;
import lemondeal.claims.CasStore;
import lemondeal.claims.ClaimState;
import lemondeal.claims.MemoryStore;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ProtocolException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * One session across proxies, a claim store and servers that lose, delay and duplicate calls and restart, in random
 * order and virtual time. The proxies run the production code; client, servers and store are a model of
 * docs/RESUME-WIRE.md.
 */
class SessionModelTest {
  private static final long TOKEN_LIFETIME_MILLIS = 30_000;
  private static final ResumeSettings SETTINGS =
      new ResumeSettings(Set.of("chat"), TOKEN_LIFETIME_MILLIS, 500, 1000, 50, 10, 2000, 100, 200);

  private long now = 1_700_000_000_000L;
  private Random random;
  private final List<Runnable> pendingTasks = new ArrayList<>();

  // ---- The servers' shared session state, and the number of lines that it must not lose ---------

  private long highestEpoch;
  private final List<Integer> appliedLines = new ArrayList<>();
  private int acknowledgedLines;

  // ---- The client ------------------------------------------------------------------------------

  private String token = "";
  private int sentLines;
  private int discardedLines;
  private int receivedLines;
  private int openCount;
  private Connection established;
  private final List<String> rejections = new ArrayList<>();

  /** Delays calls and replies, and loses some of them. */
  private final class UnreliableStore implements CasStore {
    final MemoryStore delegate = new MemoryStore(50, () -> now);

    @Override
    public void read(String session, Consumer<Result> callback) {
      deferOrLose(() -> delegate.read(session, result -> deferOrLose(() -> callback.accept(result))));
    }

    @Override
    public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
      deferOrLose(() -> delegate.compareAndSet(session, expectedVersion, state,
          result -> deferOrLose(() -> callback.accept(result))));
    }

    @Override
    public void close() {
      delegate.close();
    }
  }

  private void deferOrLose(Runnable task) {
    if (random.nextInt(10) > 0) {
      pendingTasks.add(task);
    }
  }

  /** A client's connection to a proxy, and its current attempt at a server. */
  private final class Connection implements SessionContinuity.ClientConnection {
    final SessionContinuity continuity;
    final boolean duplicate;
    boolean proxyKilled;
    boolean ended;
    boolean admitted;
    int attempts;
    /** The attempt's first line for the server; null before the first attempt. */
    String serverOpenLine;
    long epoch;
    boolean up;
    /** How many lines the client has received, as the attempt's server counts them. */
    int linesAtClient;

    Connection(ResumptionContext proxy, boolean duplicate) throws ProtocolException {
      this.duplicate = duplicate;
      String clientOpenLine = String.format("OPEN %016x 1 c=chat,d=2000,resume=1", ++openCount);
      continuity = proxy.continuityOf(OpenLine.parse(
          token.isEmpty() ? clientOpenLine : clientOpenLine + ",token=" + token + ",got=" + receivedLines));
    }

    @Override
    public void admit() {
      admitted = true;
    }

    @Override
    public void throttle(long retryAfterMicros) {
      end();
    }

    @Override
    public void fail(String line) {
      rejections.add((duplicate ? "double: " : "") + line);
      if (!duplicate) {
        // A client that is rejected discards its token, as docs/RESUME-WIRE.md requires.
        resetSession();
      }
      end();
    }

    @Override
    public boolean sendLine(String line) {
      onProxyLine(line);
      return true;
    }

    @Override
    public void schedule(long delayMicros, Runnable task) {
      long dueTime = now + delayMicros / 1000;
      pendingTasks.add(new Runnable() {
        @Override
        public void run() {
          if (now < dueTime) {
            pendingTasks.add(this);
          } else if (!proxyKilled) {
            task.run();
          }
        }
      });
    }

    @Override
    public void runOnEventLoop(Runnable task) {
      pendingTasks.add(() -> {
        if (!proxyKilled) {
          task.run();
        }
      });
    }

    /** The connection ends at its proxy. */
    void end() {
      if (!ended) {
        ended = true;
        if (!proxyKilled) {
          continuity.onEnd();
        }
        if (established == this) {
          established = null;
        }
      }
    }

    /** Starts the next attempt; the previous one was closed before. */
    void startAttempt() {
      serverOpenLine = continuity.firstLine(1000, attempts++);
      epoch = Long.parseLong(serverOpenLine.replaceAll(".*epoch=([0-9]+).*\r\n", "$1"));
      linesAtClient = Integer.parseInt(serverOpenLine.replaceAll(".*have=([0-9]+).*\r\n", "$1"));
    }

    /** The attempt's first line reaches a server, perhaps after the proxy has abandoned the attempt or was killed. */
    void deliverToServer() {
      if (epoch <= highestEpoch || linesAtClient > appliedLines.size()) {
        return;
      }
      highestEpoch = epoch;
      String upLine = "UP r resumed=" + appliedLines.size();
      if (!ended && !proxyKilled && continuity.acceptsUp(upLine)) {
        up = true;
        String resumeLine = continuity.onUp(attempts - 1, "s", upLine);
        if (!duplicate) {
          established = this;
          onResumeLine(resumeLine.trim(), appliedLines.size());
        }
      }
    }

    /** A client's line reaches the server that has the session, unless a higher epoch fences off this connection. */
    void applyClientLine(int number) {
      if (epoch >= highestEpoch) {
        appliedLines.add(number);
        assertEquals(appliedLines.size(), number, "lines out of order or duplicated");
      }
    }

    private void onProxyLine(String line) {
      if (line.startsWith("TOKEN ") && established == this) {
        token = line.substring("TOKEN ".length());
      }
    }
  }

  private void resetSession() {
    token = "";
    sentLines = 0;
    discardedLines = 0;
    receivedLines = 0;
    appliedLines.clear();
    highestEpoch = 0;
    acknowledgedLines = 0;
  }

  /** The client receives the RESUME line, which follows UP. */
  private void onResumeLine(String line, int linesAtServer) {
    String[] words = line.split(" ");
    if (words[1].equals("at")) {
      assertEquals(linesAtServer, Integer.parseInt(words[2]));
      assertTrue(linesAtServer >= acknowledgedLines, "an acknowledged line is lost");
      assertTrue(linesAtServer <= sentLines, "the server has lines that were never sent");
      discardedLines = Math.max(discardedLines, linesAtServer);
    } else {
      resetSession();
      // A new session has separate server state: this model follows one session at a time.
      highestEpoch = established.epoch;
    }
    token = words[words.length - 1];
  }

  @Property(seed = "51", tries = 600)
  void noLineIsLostRepeatedOrReordered(@ForAll long seed) throws ProtocolException {
    random = new Random(seed);
    KeyRing keyRing = new KeyRing("k1", List.of(TokenCodecTest.key("k1", 1)));
    UnreliableStore store = new UnreliableStore();
    List<ResumptionContext> proxies = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      proxies.add(new ResumptionContext(SETTINGS, keyRing, new CasClaimService(store, () -> now), "n" + i, () -> now));
    }
    Deque<Connection> connections = new ArrayDeque<>();
    List<Connection> delayedDeliveries = new ArrayList<>();
    for (int step = 0; step < 300; step++) {
      switch (random.nextInt(10)) {
        case 0 -> {
          boolean duplicate = random.nextInt(4) == 0 && !token.isEmpty();
          if (established == null || duplicate) {
            Connection connection = new Connection(proxies.get(random.nextInt(3)), duplicate);
            connections.add(connection);
            connection.continuity.begin(connection);
          }
        }
        case 1, 2 -> {
          for (Connection connection : List.copyOf(connections)) {
            if (connection.admitted && !connection.ended && !connection.up && connection.attempts < 3) {
              if (connection.serverOpenLine != null && random.nextBoolean()) {
                // A later step delivers the first line of the connection's latest attempt, even if it has ended.
                delayedDeliveries.add(connection);
              }
              connection.startAttempt();
              if (random.nextInt(3) > 0) {
                connection.deliverToServer();
              }
            }
          }
        }
        case 3 -> {
          if (!delayedDeliveries.isEmpty()) {
            delayedDeliveries.remove(random.nextInt(delayedDeliveries.size())).deliverToServer();
          }
        }
        case 4, 5 -> {
          if (established != null && sentLines - discardedLines < 40) {
            sentLines++;
            established.continuity.onClientLine();
          }
        }
        case 6 -> {
          // The server that has the session receives the client's next line, acknowledges it or not, and replies.
          for (Connection connection : connections) {
            if (connection.up && !connection.ended && connection == established && appliedLines.size() < sentLines) {
              connection.applyClientLine(appliedLines.size() + 1);
              if (random.nextBoolean()) {
                acknowledgedLines = appliedLines.size();
                discardedLines = acknowledgedLines;
                connection.continuity.rewriteServerLine("ACK " + acknowledgedLines);
              }
              if (connection.linesAtClient < appliedLines.size()) {
                connection.linesAtClient++;
                receivedLines++;
                assertEquals(connection.linesAtClient, receivedLines, "a line to the client is lost or duplicated");
                connection.continuity.rewriteServerLine("price " + receivedLines);
              }
            }
          }
        }
        case 7 -> {
          if (established != null && random.nextBoolean()) {
            if (random.nextBoolean()) {
              String moveLine = established.continuity.moveLine();
              token = moveLine.startsWith("MOVE ") ? moveLine.trim().substring("MOVE ".length()) : token;
            }
            established.end();
          }
        }
        case 8 -> {
          if (random.nextInt(6) == 0) {
            // A proxy restarts without state. Connections drawn at random, of any proxy, lose theirs with its tasks.
            int proxyIndex = random.nextInt(3);
            for (Connection connection : List.copyOf(connections)) {
              if (random.nextInt(3) == 0) {
                connection.proxyKilled = true;
                connection.end();
              }
            }
            proxies.set(proxyIndex, new ResumptionContext(SETTINGS, keyRing, new CasClaimService(store, () -> now),
                "n" + proxyIndex, () -> now));
          }
        }
        default -> now += random.nextInt(900);
      }
      for (Runnable task : List.copyOf(pendingTasks)) {
        if (random.nextBoolean()) {
          pendingTasks.remove(task);
          task.run();
        }
      }
      connections.removeIf(connection -> connection.ended);
    }
    for (String rejection : rejections) {
      assertTrue(rejection.equals("ERR used") || rejection.startsWith("double: "), rejection);
    }
  }
}
