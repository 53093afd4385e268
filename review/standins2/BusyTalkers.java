import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients that are up send hundreds of short commands at once, read the answers, send the same again, and come again
 * as soon as they are turned away; usual clients come meanwhile. Without trouble the same clients send a command every two seconds.
 */
final class BusyTalkers {
  private static final int TALKERS = 150;
  private static final long TALK_MILLIS = 25_000;
  private static final int COMMANDS_AT_ONCE = 900;

  public static void main(String[] arguments) {
    Rig.main(arguments, BusyTalkers::run);
  }

  private static int run(Rig rig) throws Exception {
    Exchange exchange = new Exchange(rig);
    List<Socket> talkers = new ArrayList<>();
    for (int i = 0; i < TALKERS; i++) {
      rig.sleepUntil(rig.now() + 30);
      Socket talker = connect(rig, exchange.proxy.port);
      if (talker != null) {
        talkers.add(talker);
      }
    }
    rig.say(talkers.size() + " talkers are up");
    if (talkers.size() < TALKERS / 2 || !exchange.isSound()) {
      rig.say("could not run: the talkers were not up, or a usual client was not answered before they talked");
      return Rig.NOT_RUN;
    }
    AtomicLong commands = new AtomicLong();
    AtomicInteger moved = new AtomicInteger();
    double end = rig.now() + TALK_MILLIS;
    talkers.forEach(talker -> Rig.daemon(() -> stay(rig, exchange.proxy.port, talker, end, commands, moved)));
    rig.sleepUntil(end);
    int verdict = exchange.verdict();
    rig.say(commands + " commands were sent, " + moved + " times a talker was moved or ended");
    return verdict;
  }

  /** Talks and listens until the connection ends, and comes again as soon as it is turned away. */
  private static void stay(Rig rig, int port, Socket first, double end, AtomicLong commands, AtomicInteger moved) {
    Socket socket = first;
    while (rig.now() < end) {
      try {
        if (socket != null) {
          talk(rig, socket, end, commands, moved);
        }
        Thread.sleep(100);
        socket = rig.now() < end ? connect(rig, port) : null;
      } catch (IOException e) {
        socket = null;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** An ordinary client up to its UP; null if it is turned away. */
  private static Socket connect(Rig rig, int port) throws IOException {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    Socket socket = new Socket(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port);
    socket.setSoTimeout(5000);
    String open = String.format("OPEN %016x %016x c=menu-feed,d=2000,g=%016x", random.nextLong(), random.nextLong(),
        random.nextLong());
    rig.note("sent: " + open);
    socket.getOutputStream().write((open + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    byte[] answer = new byte[64];
    int length = Math.max(0, socket.getInputStream().read(answer));
    String line = new String(answer, 0, length, StandardCharsets.ISO_8859_1).strip();
    rig.note("answered: " + open.split(" ")[1] + " " + line);
    if (line.startsWith("UP ")) {
      socket.setSoTimeout(0);
      return socket;
    }
    socket.close();
    return null;
  }

  /** Sends some commands at once, and again when it has read all answers, until the connection ends. */
  private static void talk(Rig rig, Socket socket, double end, AtomicLong commands, AtomicInteger moved)
      throws InterruptedException {
    int atOnce = rig.trouble ? COMMANDS_AT_ONCE : 1;
    byte[] some = "hi\r\n".repeat(atOnce).getBytes(StandardCharsets.ISO_8859_1);
    // Each answer is as long as its command. A MOVE may stand among them; then the connection ends.
    byte[] answers = new byte[some.length];
    try (socket) {
      while (rig.now() < end) {
        socket.getOutputStream().write(some);
        commands.addAndGet(atOnce);
        if (socket.getInputStream().readNBytes(answers, 0, answers.length) < answers.length) {
          break;
        }
        if (!rig.trouble) {
          Thread.sleep(2000);
        }
      }
    } catch (IOException e) {
      // The connection was moved or has ended.
    }
    moved.incrementAndGet();
  }
}
