import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound link node: brings connections up at once, answers each line at once, and answers probes. */
final class LinkServer {
  /** An OPEN line that came, with the time at which it had come whole. */
  record Open(String server, String id, double at) {}

  private static final AtomicInteger RECEIPTS = new AtomicInteger();

  final String id;
  private final Rig rig;
  private final ServerSocket socket;
  private final List<Open> opens = new ArrayList<>();
  private final AtomicInteger held = new AtomicInteger();

  LinkServer(Rig rig, String id) throws IOException {
    this.rig = rig;
    this.id = id;
    socket = Rig.listen();
    Rig.daemon(this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  List<Open> opens() {
    synchronized (opens) {
      return List.copyOf(opens);
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket accepted = socket.accept();
        Rig.daemon(() -> serve(accepted));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket accepted) {
    boolean up = false;
    try (accepted) {
      accepted.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = accepted.getOutputStream();
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.equals("PING")) {
          send(out, "PONG");
        } else if (line.equals("STATS")) {
          send(out, "PONG qps=1,inflight=" + held.get() + ",x0=0.2");
        } else if (line.startsWith("OPEN ") && !up) {
          up = true;
          held.incrementAndGet();
          Open open = new Open(id, line.split(" ")[1], rig.now());
          synchronized (opens) {
            opens.add(open);
          }
          rig.note("run: " + id + " " + line);
          send(out, "UP r" + RECEIPTS.incrementAndGet());
        } else {
          send(out, "echo " + line);
        }
      }
    } catch (IOException e) {
      // The other side has ended the connection.
    } finally {
      if (up) {
        held.decrementAndGet();
      }
    }
  }

  private static void send(OutputStream out, String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
