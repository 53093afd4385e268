import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
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
    Discovery discovery = new Discovery(rig);
    for (int i = 1; i <= 10; i++) {
      discovery.put(new LinkServer(rig, "s-" + i), "hobart", "in_service");
    }
    Rig.Proxy proxy = rig.startProxy(Map.of(
        "GW_CONFIG", rig.write("config.json", Site.config(discovery.address(), "")).toString()));
    if (proxy.awaitLine("lemondeal: ready", 15_000) == null) {
      rig.say("could not run: the proxy was not ready");
      return Rig.NOT_RUN;
    }
    Clients usual = new Clients(rig, proxy.port);
    usual.start(150, 3000);
    rig.sleepUntil(rig.now() + 6000);
    rig.say("before the callers: " + usual.summary());
    if (usual.unanswered.get() > 0 || usual.up.get() == 0) {
      rig.say("could not run: a usual client was not answered before");
      return Rig.NOT_RUN;
    }
    AtomicLong commands = new AtomicLong();
    AtomicInteger connections = new AtomicInteger();
    double end = rig.now() + CALL_MILLIS;
    for (int i = 0; i < CALLERS; i++) {
      Rig.daemon(() -> call(rig, proxy.port, end, commands, connections));
    }
    rig.sleepUntil(end);
    usual.end();
    rig.sleepUntil(rig.now() + 6000);
    rig.say(commands + " times PING on " + connections + " connections");
    rig.say("usual " + usual.summary());
    return Verdicts.answered(rig, proxy, usual);
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
