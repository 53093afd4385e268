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

/** A fake of the platform's discovery on loopback: serves the full list, and streams each change to watches at once. */
public final class FakeDiscovery implements AutoCloseable {
  /** Interval of the empty lines that discovery writes while nothing changes. */
  private static final long HEARTBEAT_MILLIS = 1000;

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(FakeDiscovery::daemonThread);
  private final Map<String, String> instances = new LinkedHashMap<>();
  private long generation = 1;
  private boolean closed;

  public FakeDiscovery() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(threads);
    server.createContext("/api/targets", this::handle);
    server.start();
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "listing");
    thread.setDaemon(true);
    return thread;
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Lists the server in zone a with a lifecycle of {@code in_service}, {@code terminating} or {@code terminated}. */
  public void putInstance(String id, InetSocketAddress address, String lifecycle) {
    putInstance(id, address, "a", lifecycle);
  }

  /** Lists a server of the given zone. */
  public synchronized void putInstance(String id, InetSocketAddress address, String zone, String lifecycle) {
    instances.put(id, "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + address.getPort()
        + "\",\"zone\":\"" + zone + "\",\"machineType\":\"m\",\"cell\":0,\"lifecycle\":\"" + lifecycle
        + "\",\"weight\":1.0,\"startedAtMs\":0}");
    generation++;
    notifyAll();
  }

  private synchronized String fullList() {
    return "{\"generation\":" + generation + ",\"reset\":true,\"instances\":[" + String.join(",", instances.values())
        + "]}";
  }

  private void handle(HttpExchange exchange) throws IOException {
    String query = exchange.getRequestURI().getQuery();
    if (query == null || !query.contains("stream=1")) {
      byte[] body = fullList().getBytes(StandardCharsets.US_ASCII);
      exchange.sendResponseHeaders(200, body.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(body);
      }
      return;
    }
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream out = exchange.getResponseBody()) {
      streamChanges(out);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void streamChanges(OutputStream out) throws IOException, InterruptedException {
    long sentGeneration = -1;
    while (true) {
      String line;
      synchronized (this) {
        if (closed) {
          return;
        }
        if (sentGeneration == generation) {
          wait(HEARTBEAT_MILLIS);
        }
        line = sentGeneration == generation ? "" : fullList();
        sentGeneration = generation;
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
    server.stop(0);
    threads.shutdownNow();
  }
}
