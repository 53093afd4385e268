import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients send PING hundreds of times at once, read the answers, send the same again, and come again as soon as they
 * are ended; usual clients come meanwhile. Without trouble the same clients send one PING a second.
 */
final class BusyCallers {
  private static final int CALLERS = 280;
  private static final long CALL_MILLIS = 20_000;
  private static final int COMMANDS_AT_ONCE = 900;

  public static void main(String[] arguments) {
    Rig.main(arguments, BusyCallers::run);
  }

  private static int run(Rig rig) throws Exception {
    Exchange exchange = new Exchange(rig);
    rig.sleepUntil(rig.now() + 6000);
    if (!exchange.isSound()) {
      rig.say("could not run: a usual client was not answered before");
      return Rig.NOT_RUN;
    }
    AtomicLong commands = new AtomicLong();
    AtomicInteger connections = new AtomicInteger();
    double end = rig.now() + CALL_MILLIS;
    for (int i = 0; i < CALLERS; i++) {
      Rig.daemon(() -> call(rig, exchange.proxy.port, end, commands, connections));
    }
    rig.sleepUntil(end);
    int verdict = exchange.verdict();
    rig.say(commands + " times PING on " + connections + " connections");
    return verdict;
  }

  /** One bad client, with one connection at a time; it sends again when it has read all answers. */
  private static void call(Rig rig, int port, double end, AtomicLong commands, AtomicInteger connections) {
    int atOnce = rig.trouble ? COMMANDS_AT_ONCE : 1;
    byte[] some = "PING\r\n".repeat(atOnce).getBytes(StandardCharsets.ISO_8859_1);
    byte[] answers = new byte[some.length];
    while (rig.now() < end) {
      try (Socket socket = new Socket(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port)) {
        connections.incrementAndGet();
        while (rig.now() < end) {
          socket.getOutputStream().write(some);
          commands.addAndGet(atOnce);
          if (socket.getInputStream().readNBytes(answers, 0, answers.length) < answers.length) {
            break;
          }
          if (!rig.trouble) {
            Thread.sleep(1000);
          }
        }
      } catch (IOException e) {
        rig.note("a caller is ended: " + e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
