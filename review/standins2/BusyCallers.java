import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Bad clients send the front's PING hundreds of times at once, at full speed, read what they are sent, and come again as
 * soon as they are ended; usual clients come meanwhile. Without trouble the same clients send one PING a second.
 */
final class BusyCallers {
  private static final int CALLERS = 100;
  private static final long CALL_MILLIS = 20_000;
  private static final int COMMANDS_AT_ONCE = 500;

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

  /** One bad client, with one connection at a time. */
  private static void call(Rig rig, int port, double end, AtomicLong commands, AtomicInteger connections) {
    byte[] some = "PING\r\n".repeat(rig.trouble ? COMMANDS_AT_ONCE : 1).getBytes(StandardCharsets.ISO_8859_1);
    byte[] answers = new byte[65_536];
    while (rig.now() < end) {
      try (Socket socket = new Socket(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port)) {
        connections.incrementAndGet();
        Rig.daemon(() -> {
          try {
            while (rig.now() < end) {
              socket.getOutputStream().write(some);
              commands.addAndGet(some.length / 6);
              if (!rig.trouble) {
                Thread.sleep(1000);
              }
            }
            socket.shutdownOutput();
          } catch (IOException e) {
            // The proxy has ended the connection.
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
        while (socket.getInputStream().read(answers) >= 0) {
          continue;
        }
      } catch (IOException e) {
        rig.note("a caller is ended: " + e.getMessage());
      }
    }
  }
}
