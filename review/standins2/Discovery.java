import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The platform's discovery: the whole list, and watches. While it is crowded, a call waits its turn for three seconds
 * and fails with 503, as one that has waited too long.
 */
final class Discovery {
  private static final long CALL_TIMEOUT_MILLIS = 3000;
  private static final long HEARTBEAT_MILLIS = 2000;

  private final Rig rig;
  private final ServerSocket socket;
  private final Map<String, String> instances = new LinkedHashMap<>();
  /** For each version, what changed with it. */
  private final Map<Long, String> changes = new LinkedHashMap<>();
  private final Set<Socket> watches = new HashSet<>();
  private long generation = 1;
  private double crowdedUntil;
  /** When a list or a change of this version was first written. */
  private final Map<Long, Double> toldAt = new LinkedHashMap<>();

  Discovery(Rig rig) throws IOException {
    this.rig = rig;
    socket = Rig.listen();
    Rig.daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  static String entry(LinkServer server, String zone, String lifecycle) {
    return "{\"instanceId\":\"" + server.id + "\",\"hostPort\":\"127.0.0.1:" + server.port() + "\",\"zone\":\"" + zone
        + "\",\"machineType\":\"medium\",\"cell\":0,\"lifecycle\":\"" + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":0}";
  }

  synchronized long put(LinkServer server, String zone, String lifecycle) {
    String entry = entry(server, zone, lifecycle);
    instances.put(server.id, entry);
    changes.put(++generation, entry);
    rig.note("discovery: " + server.id + " is " + lifecycle + ", generation " + generation);
    notifyAll();
    return generation;
  }

  synchronized void crowd(long millis) {
    crowdedUntil = rig.now() + millis;
    rig.note("discovery: has too many callers for " + millis + " ms");
  }

  synchronized void resetWatches() throws IOException {
    rig.note("discovery: resets " + watches.size() + " watches");
    for (Socket watch : watches) {
      watch.setSoLinger(true, 0);
      watch.close();
    }
    watches.clear();
  }

  synchronized int watches() {
    return watches.size();
  }

  /** When a list with this version or a later one was first written; NaN if none was. */
  synchronized double toldAt(long wanted) {
    return toldAt.entrySet().stream().filter(told -> told.getKey() >= wanted).mapToDouble(Map.Entry::getValue).min()
        .orElse(Double.NaN);
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
    try (accepted) {
      accepted.setTcpNoDelay(true);
      BufferedReader in = new BufferedReader(
          new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = accepted.getOutputStream();
      for (String request = in.readLine(); request != null; request = in.readLine()) {
        for (String line = request; line != null && !line.isEmpty();) {
          line = in.readLine();
        }
        rig.note("discovery: is asked " + request);
        if (!awaitTurn()) {
          rig.note("discovery: answers 503");
          write(out, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
          return;
        }
        if (request.contains("stream=1")) {
          watch(accepted, out, Long.parseLong(request.replaceAll(".*index=([0-9]+).*", "$1")));
          return;
        }
        String list;
        long version;
        synchronized (this) {
          list = fullList();
          version = generation;
        }
        write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + list.length() + "\r\n\r\n"
            + list);
        told(version);
      }
    } catch (IOException e) {
      rig.note("discovery: a call has ended: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      synchronized (this) {
        watches.remove(accepted);
      }
    }
  }

  /** Waits while discovery is crowded; false if the call has waited too long. */
  private synchronized boolean awaitTurn() throws InterruptedException {
    double end = rig.now() + CALL_TIMEOUT_MILLIS;
    while (rig.now() < crowdedUntil && rig.now() < end) {
      wait(Math.max(1, (long) (Math.min(end, crowdedUntil) - rig.now()) + 1));
    }
    return rig.now() >= crowdedUntil;
  }

  private String fullList() {
    return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", instances.values())
        + "]}\n";
  }

  private void watch(Socket accepted, OutputStream out, long index) throws IOException, InterruptedException {
    write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    long sent = index;
    synchronized (this) {
      watches.add(accepted);
    }
    for (boolean first = true;; first = false) {
      String line;
      synchronized (this) {
        if (!first && sent == generation) {
          wait(HEARTBEAT_MILLIS);
        }
        line = first && (sent < 1 || sent > generation) ? fullList() : sent == generation ? "\n" : changesAfter(sent);
        sent = generation;
      }
      write(out, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
      told(sent);
    }
  }

  private String changesAfter(long index) {
    List<String> entries = new ArrayList<>();
    changes.forEach((version, entry) -> {
      if (version > index) {
        entries.add(entry);
      }
    });
    return "{\"generation\":" + generation + ",\"reset\":false,\"instances\":[" + String.join(",", entries) + "]}\n";
  }

  private synchronized void told(long version) {
    if (toldAt.putIfAbsent(version, rig.now()) == null) {
      rig.note("discovery: has told generation " + version);
    }
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
