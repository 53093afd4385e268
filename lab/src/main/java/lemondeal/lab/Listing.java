package lemondeal.lab;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A stand-in for the platform's discovery, on loopback: the whole list, and watches that hear each change at once. */
public final class Listing implements AutoCloseable {
  /** Discovery writes an empty line this often while nothing changes. */
  private static final long EMPTY_MILLIS = 1000;

  private final HttpServer http;
  private final ExecutorService threads = Executors.newCachedThreadPool(Listing::daemon);
  private final Map<String, String> instances = new LinkedHashMap<>();
  private long generation = 1;
  private boolean closed;

  public Listing() throws IOException {
    http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    http.setExecutor(threads);
    http.createContext("/api/targets", this::answer);
    http.start();
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task, "listing");
    thread.setDaemon(true);
    return thread;
  }

  public InetSocketAddress address() {
    return http.getAddress();
  }

  /** Lists the server with this lifecycle: {@code in_service}, {@code terminating} or {@code terminated}. */
  public void list(String id, InetSocketAddress address, String lifecycle) {
    list(id, address, "a", lifecycle);
  }

  /** The same for a server of this zone. */
  public synchronized void list(String id, InetSocketAddress address, String zone, String lifecycle) {
    instances.put(id, "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + address.getPort()
        + "\",\"zone\":\"" + zone + "\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"" + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":0}");
    generation++;
    notifyAll();
  }

  private synchronized String whole() {
    return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", instances.values())
        + "]}";
  }

  private void answer(HttpExchange call) throws IOException {
    String query = call.getRequestURI().getQuery();
    if (query == null || !query.contains("stream=1")) {
      byte[] body = whole().getBytes(StandardCharsets.US_ASCII);
      call.sendResponseHeaders(200, body.length);
      try (OutputStream out = call.getResponseBody()) {
        out.write(body);
      }
      return;
    }
    call.sendResponseHeaders(200, 0);
    try (OutputStream out = call.getResponseBody()) {
      watch(out);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void watch(OutputStream out) throws IOException, InterruptedException {
    long told = -1;
    while (true) {
      String line;
      synchronized (this) {
        if (closed) {
          return;
        }
        if (told == generation) {
          wait(EMPTY_MILLIS);
        }
        line = told == generation ? "" : whole();
        told = generation;
      }
      out.write((line + "\n").getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    http.stop(0);
    threads.shutdownNow();
  }
}
