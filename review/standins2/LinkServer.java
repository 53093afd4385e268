import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound link node: brings connections up at once, answers each line at once with a short one, and answers probes. */
final class LinkServer {
  /** An OPEN line that came, with the time at which it had come whole. */
  record Open(String server, String id, double at) {}

  private static final AtomicInteger RECEIPTS = new AtomicInteger();

  final String id;
  private final Rig rig;
  private final ServerSocket socket;
  private final List<Open> opens = new ArrayList<>();
  private final AtomicInteger held = new AtomicInteger();
  /** The connections that are up, by their request's id. */
  private final Map<String, Socket> standing = new ConcurrentHashMap<>();
  private volatile boolean draining;
  private final Set<String> cutOff = ConcurrentHashMap.newKeySet();

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

  /** The ids of the requests whose connections were still up when the server stopped. */
  Set<String> cutOff() {
    return Set.copyOf(cutOff);
  }

  /** The server drains: it sends all its clients away at once and turns away what is new. */
  void drain() throws IOException {
    draining = true;
    rig.note("server " + id + " drains and sends " + standing.size() + " clients away");
    for (Socket connection : standing.values()) {
      connection.getOutputStream().write("MOVE\r\n".getBytes(StandardCharsets.ISO_8859_1));
      connection.shutdownOutput();
    }
  }

  /** The server stops, as one does some time after its drain began: what is left on it is cut off. */
  void stop() throws IOException {
    rig.note("server " + id + " stops with " + standing.size() + " connections");
    socket.close();
    for (Map.Entry<String, Socket> connection : standing.entrySet()) {
      cutOff.add(connection.getKey());
      connection.getValue().setSoLinger(true, 0);
      connection.getValue().close();
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
    String request = "";
    try (accepted) {
      accepted.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = new BufferedOutputStream(accepted.getOutputStream(), 16_384);
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.equals("PING")) {
          send(out, "PONG");
        } else if (line.equals("STATS")) {
          send(out, "PONG qps=1,inflight=" + held.get() + ",x0=0.2");
        } else if (line.startsWith("OPEN ") && !up) {
          up = true;
          held.incrementAndGet();
          request = line.split(" ")[1];
          Open open = new Open(id, request, rig.now());
          synchronized (opens) {
            opens.add(open);
          }
          rig.note("run: " + id + " " + line);
          if (draining) {
            send(out, "BUSY");
            out.flush();
            return;
          }
          standing.put(request, accepted);
          send(out, "UP r" + RECEIPTS.incrementAndGet());
        } else {
          send(out, "ok");
        }
        if (!in.ready()) {
          out.flush();
        }
      }
    } catch (IOException e) {
      // The other side has ended the connection.
    } finally {
      if (up) {
        held.decrementAndGet();
        standing.remove(request);
      }
    }
  }

  private static void send(OutputStream out, String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }
}
