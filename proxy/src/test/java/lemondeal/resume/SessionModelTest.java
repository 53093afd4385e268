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
import lemondeal.claims.CasClaims;
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
  private static final long LIFE = 30_000;
  private static final ResumeSettings SETTINGS =
      new ResumeSettings(Set.of("chat"), LIFE, 500, 1000, 50, 10, 2000, 100, 200);

  private long now = 1_700_000_000_000L;
  private Random random;
  private final List<Runnable> due = new ArrayList<>();

  // ---- The servers' shared store, and what it is held to ---------------------------------------

  private long highest;
  private final List<Integer> applied = new ArrayList<>();
  private int promised;

  // ---- The client ------------------------------------------------------------------------------

  private String token = "";
  private int sent;
  private int dropped;
  private int got;
  private int opens;
  private Connection standing;
  private final List<String> refusals = new ArrayList<>();

  /** Calls to the store come late, and some are lost. */
  private final class LateStore implements CasStore {
    final MemoryStore inner = new MemoryStore(50, () -> now);

    @Override
    public void read(String session, Consumer<Written> told) {
      later(() -> inner.read(session, answer -> later(() -> told.accept(answer))));
    }

    @Override
    public void compareAndSet(String session, long version, ClaimState state, Consumer<Written> told) {
      later(() -> inner.compareAndSet(session, version, state, answer -> later(() -> told.accept(answer))));
    }

    @Override
    public void close() {
      inner.close();
    }
  }

  private void later(Runnable task) {
    if (random.nextInt(10) > 0) {
      due.add(task);
    }
  }

  /** A client's connection at a proxy, and the attempt that it has out. */
  private final class Connection implements Continuity.Side {
    final Continuity continuity;
    final boolean doubled;
    boolean dead;
    boolean over;
    boolean admitted;
    int attempts;
    /** What its server was told, once an attempt is out; what it holds, once that is up. */
    String open;
    long epoch;
    boolean up;
    int next;

    Connection(Resumption proxy, boolean doubled) throws ProtocolException {
      this.doubled = doubled;
      String line = String.format("OPEN %016x 1 c=chat,d=2000,resume=1", ++opens);
      continuity = proxy.of(OpenLine.parse(token.isEmpty() ? line : line + ",token=" + token + ",got=" + got));
    }

    @Override
    public void admit() {
      admitted = true;
    }

    @Override
    public void throttle(long micros) {
      end();
    }

    @Override
    public void fail(String line) {
      refusals.add((doubled ? "double: " : "") + line);
      if (!doubled) {
        // Whoever is refused drops its token, as the page says.
        begin();
      }
      end();
    }

    @Override
    public boolean say(String line) {
      heard(line);
      return true;
    }

    @Override
    public void after(long micros, Runnable task) {
      long at = now + micros / 1000;
      due.add(new Runnable() {
        @Override
        public void run() {
          if (now < at) {
            due.add(this);
          } else if (!dead) {
            task.run();
          }
        }
      });
    }

    @Override
    public void later(Runnable task) {
      due.add(() -> {
        if (!dead) {
          task.run();
        }
      });
    }

    /** The connection ends, as its proxy sees it. */
    void end() {
      if (!over) {
        over = true;
        if (!dead) {
          continuity.over();
        }
        if (standing == this) {
          standing = null;
        }
      }
    }

    /** The next attempt goes out: what is out was closed before. */
    void attempt() {
      open = continuity.firstLine(1000, attempts++);
      epoch = Long.parseLong(open.replaceAll(".*epoch=([0-9]+).*\r\n", "$1"));
      next = Integer.parseInt(open.replaceAll(".*have=([0-9]+).*\r\n", "$1"));
    }

    /** The attempt's line comes to a server, late perhaps: the proxy may have given it up, or died. */
    void arrive() {
      if (epoch <= highest || next > applied.size()) {
        return;
      }
      highest = epoch;
      String answer = "UP r resumed=" + applied.size();
      if (!over && !dead && continuity.takes(answer)) {
        up = true;
        String told = continuity.up(attempts - 1, "s", answer);
        if (!doubled) {
          standing = this;
          began(told.trim(), applied.size());
        }
      }
    }

    /** A line of the client comes to the server that holds the session, unless it is fenced out. */
    void apply(int number) {
      if (epoch >= highest) {
        applied.add(number);
        assertEquals(applied.size(), number, "lines out of order or twice");
      }
    }

    private void heard(String line) {
      if (line.startsWith("TOKEN ") && standing == this) {
        token = line.substring("TOKEN ".length());
      }
    }
  }

  private void begin() {
    token = "";
    sent = 0;
    dropped = 0;
    got = 0;
    applied.clear();
    highest = 0;
    promised = 0;
  }

  /** The line behind UP, as the client takes it. */
  private void began(String line, int has) {
    String[] words = line.split(" ");
    if (words[1].equals("at")) {
      assertEquals(has, Integer.parseInt(words[2]));
      assertTrue(has >= promised, "an acknowledged line is lost");
      assertTrue(has <= sent, "the server has lines that were never sent");
      dropped = Math.max(dropped, has);
    } else {
      begin();
      // The store of a new session is its own: this model follows one session at a time.
      highest = standing.epoch;
    }
    token = words[words.length - 1];
  }

  @Property(seed = "51", tries = 600)
  void nothingIsLostRepeatedOrOutOfOrder(@ForAll long seed) throws ProtocolException {
    random = new Random(seed);
    KeyRing ring = new KeyRing("k1", List.of(TokenCodecTest.key("k1", 1)));
    LateStore store = new LateStore();
    List<Resumption> proxies = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      proxies.add(new Resumption(SETTINGS, ring, new CasClaims(store, () -> now), "n" + i, () -> now));
    }
    Deque<Connection> connections = new ArrayDeque<>();
    List<Connection> stray = new ArrayList<>();
    for (int step = 0; step < 300; step++) {
      switch (random.nextInt(10)) {
        case 0 -> {
          boolean doubled = random.nextInt(4) == 0 && !token.isEmpty();
          if (standing == null || doubled) {
            Connection connection = new Connection(proxies.get(random.nextInt(3)), doubled);
            connections.add(connection);
            connection.continuity.begin(connection);
          }
        }
        case 1, 2 -> {
          for (Connection connection : List.copyOf(connections)) {
            if (connection.admitted && !connection.over && !connection.up && connection.attempts < 3) {
              if (connection.open != null && random.nextBoolean()) {
                // The line of the attempt given up is still on its way.
                stray.add(connection);
              }
              connection.attempt();
              if (random.nextInt(3) > 0) {
                connection.arrive();
              }
            }
          }
        }
        case 3 -> {
          if (!stray.isEmpty()) {
            stray.remove(random.nextInt(stray.size())).arrive();
          }
        }
        case 4, 5 -> {
          if (standing != null && sent - dropped < 40) {
            sent++;
            standing.continuity.fromClient();
          }
        }
        case 6 -> {
          // What the server that holds the session has read so far, as far as it came through.
          for (Connection connection : connections) {
            if (connection.up && !connection.over && connection == standing && applied.size() < sent) {
              connection.apply(applied.size() + 1);
              if (random.nextBoolean()) {
                promised = applied.size();
                dropped = promised;
                connection.continuity.fromServer("ACK " + promised);
              }
              if (connection.next < applied.size()) {
                connection.next++;
                got++;
                assertEquals(connection.next, got, "a line to the client is lost or twice");
                connection.continuity.fromServer("price " + got);
              }
            }
          }
        }
        case 7 -> {
          if (standing != null && random.nextBoolean()) {
            if (random.nextBoolean()) {
              String move = standing.continuity.move();
              token = move.startsWith("MOVE ") ? move.trim().substring("MOVE ".length()) : token;
            }
            standing.end();
          }
        }
        case 8 -> {
          if (random.nextInt(6) == 0) {
            // A proxy is killed, with all that it had under way, and comes back knowing nothing.
            int which = random.nextInt(3);
            for (Connection connection : List.copyOf(connections)) {
              if (random.nextInt(3) == 0) {
                connection.dead = true;
                connection.end();
              }
            }
            proxies.set(which, new Resumption(SETTINGS, ring, new CasClaims(store, () -> now), "n" + which, () -> now));
          }
        }
        default -> now += random.nextInt(900);
      }
      for (Runnable task : List.copyOf(due)) {
        if (random.nextBoolean()) {
          due.remove(task);
          task.run();
        }
      }
      connections.removeIf(connection -> connection.over);
    }
    for (String refusal : refusals) {
      assertTrue(refusal.equals("ERR used") || refusal.startsWith("double: "), refusal);
    }
  }
}
