import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that come at a steady rate, each with a key and a group of its own, stay a while and leave. */
final class Clients {
  private static final String[] CLASSES = {"menu-feed", "order-sync", "delivery-track", "stock-set"};
  private static final int[] DEADLINES = {2000, 1800, 3000, 4800};

  private final Rig rig;
  private final int port;
  private final SplittableRandom random = new SplittableRandom();
  private volatile boolean ended;
  final AtomicInteger up = new AtomicInteger();
  final AtomicInteger refused = new AtomicInteger();
  final AtomicInteger failed = new AtomicInteger();
  /** Clients that got no line by half a second after their time, and a tenth more for this program itself. */
  final AtomicInteger unanswered = new AtomicInteger();

  Clients(Rig rig, int port) {
    this.rig = rig;
    this.port = port;
  }

  /** Starts one client every {@code intervalMillis}; each stays for {@code stayMillis}. */
  void start(int intervalMillis, int stayMillis) {
    Rig.daemon(() -> {
      double next = rig.now();
      try {
        while (!ended) {
          int kind = random.nextInt(CLASSES.length);
          String line = String.format("OPEN %016x %016x c=%s,d=%d,g=%016x", random.nextLong(), random.nextLong(),
              CLASSES[kind], DEADLINES[kind], random.nextLong());
          Rig.daemon(() -> connect(line, DEADLINES[kind], stayMillis));
          next += intervalMillis;
          rig.sleepUntil(next);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
  }

  void end() {
    ended = true;
  }

  String summary() {
    return "clients up " + up + ", refused " + refused + ", failed " + failed + ", unanswered " + unanswered;
  }

  private void connect(String open, int deadline, int stayMillis) {
    try (Socket socket = new Socket(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port)) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(deadline + 600);
      rig.note("sent: " + open);
      socket.getOutputStream().write((open + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String answer = in.readLine();
      rig.note("answered: " + open.split(" ")[1] + " " + answer);
      if (answer == null) {
        unanswered.incrementAndGet();
      } else if (answer.startsWith("UP ")) {
        up.incrementAndGet();
        socket.setSoTimeout(20_000);
        for (int stayed = 0; stayed < stayMillis && !ended; stayed += 2000) {
          Thread.sleep(Math.min(2000, stayMillis - stayed));
          socket.getOutputStream().write("hello\r\n".getBytes(StandardCharsets.ISO_8859_1));
          String line = in.readLine();
          if (line == null || line.equals("MOVE")) {
            rig.note("ended: " + open.split(" ")[1] + " " + (line == null ? "without MOVE" : line));
            return;
          }
        }
      } else if (answer.startsWith("BUSY")) {
        refused.incrementAndGet();
      } else {
        failed.incrementAndGet();
      }
    } catch (SocketTimeoutException e) {
      rig.note("unanswered: " + open.split(" ")[1] + " since " + (deadline + 600) + " ms");
      unanswered.incrementAndGet();
    } catch (IOException e) {
      // The connection was refused or reset: its proxy was killed, or has moved it.
      rig.note("ended: " + open.split(" ")[1] + " " + e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
