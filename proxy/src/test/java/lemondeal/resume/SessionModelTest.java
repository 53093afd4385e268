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
 * One session through proxies, claims and servers that drop, delay, double and restart in any order, in virtual time. The
 * proxies' side is the program's own; client, servers and store are a model that keeps to docs/RESUME-WIRE.md.
 */
class SessionModelTest {
  private static final long TOKEN_LIFETIME_MILLIS = 30_000;
  private static final ResumeSettings SETTINGS =
      new ResumeSettings(Set.of("chat"), TOKEN_LIFETIME_MILLIS, 500, 1000, 50, 10, 2000, 100, 200);

  private long now = 1_700_000_000_000L;
  private Random random;
  private final List<Runnable> pendingTasks = new ArrayList<>();

  // ---- The servers' shared store, and what it is held to ---------------------------------------

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

  /** Calls to the store come late, and some are lost. */
  private final class UnreliableStore implements CasStore {
    final MemoryStore delegate = new MemoryStore(50, () -> now);

    @Override
    public void read(String session, Consumer<Result> callback) {
      deferOrLose(() -> delegate.read(session, answer -> deferOrLose(() -> callback.accept(answer))));
    }

    @Override
    public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
      deferOrLose(() -> delegate.compareAndSet(session, expectedVersion, state, answer -> deferOrLose(() -> callback.accept(answer))));
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

  /** A client's connection at a proxy, and the attempt that it has out. */
  private final class Connection implements SessionContinuity.ClientConnection {
    final SessionContinuity continuity;
    final boolean duplicate;
    boolean proxyKilled;
    boolean ended;
    boolean admitted;
    int attempts;
    /** What its server was told, once an attempt is out; what it holds, once that is up. */
    String serverOpenLine;
    long epoch;
    boolean up;
    int linesAtClient;

    Connection(ResumptionContext proxy, boolean duplicate) throws ProtocolException {
      this.duplicate = duplicate;
      String clientOpenLine = String.format("OPEN %016x 1 c=chat,d=2000,resume=1", ++openCount);
      continuity = proxy.continuityOf(OpenLine.parse(token.isEmpty() ? clientOpenLine : clientOpenLine + ",token=" + token + ",got=" + receivedLines));
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
        // Whoever is refused drops its token, as the page says.
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

    /** The connection ends, as its proxy sees it. */
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

    /** The next attempt goes out: what is out was closed before. */
    void startAttempt() {
      serverOpenLine = continuity.firstLine(1000, attempts++);
      epoch = Long.parseLong(serverOpenLine.replaceAll(".*epoch=([0-9]+).*\r\n", "$1"));
      linesAtClient = Integer.parseInt(serverOpenLine.replaceAll(".*have=([0-9]+).*\r\n", "$1"));
    }

    /** The attempt's line comes to a server, late perhaps: the proxy may have given it up, or died. */
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

    /** A line of the client comes to the server that holds the session, unless it is fenced out. */
    void applyClientLine(int number) {
      if (epoch >= highestEpoch) {
        appliedLines.add(number);
        assertEquals(appliedLines.size(), number, "lines out of order or twice");
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

  /** The line behind UP, as the client takes it. */
  private void onResumeLine(String line, int linesAtServer) {
    String[] words = line.split(" ");
    if (words[1].equals("at")) {
      assertEquals(linesAtServer, Integer.parseInt(words[2]));
      assertTrue(linesAtServer >= acknowledgedLines, "an acknowledged line is lost");
      assertTrue(linesAtServer <= sentLines, "the server has lines that were never sent");
      discardedLines = Math.max(discardedLines, linesAtServer);
    } else {
      resetSession();
      // The store of a new session is its own: this model follows one session at a time.
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
    List<Connection> supersededAttempts = new ArrayList<>();
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
                // The line of the attempt given up is still on its way.
                supersededAttempts.add(connection);
              }
              connection.startAttempt();
              if (random.nextInt(3) > 0) {
                connection.deliverToServer();
              }
            }
          }
        }
        case 3 -> {
          if (!supersededAttempts.isEmpty()) {
            supersededAttempts.remove(random.nextInt(supersededAttempts.size())).deliverToServer();
          }
        }
        case 4, 5 -> {
          if (established != null && sentLines - discardedLines < 40) {
            sentLines++;
            established.continuity.onClientLine();
          }
        }
        case 6 -> {
          // What the server that holds the session has read so far, as far as it came through.
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
                assertEquals(connection.linesAtClient, receivedLines, "a line to the client is lost or twice");
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
            // A proxy is killed, with all that it had under way, and comes back knowing nothing.
            int proxyIndex = random.nextInt(3);
            for (Connection connection : List.copyOf(connections)) {
              if (random.nextInt(3) == 0) {
                connection.proxyKilled = true;
                connection.end();
              }
            }
            proxies.set(proxyIndex, new ResumptionContext(SETTINGS, keyRing, new CasClaimService(store, () -> now), "n" + proxyIndex, () -> now));
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
