package lemondeal.lab.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import lemondeal.lab.LineConnection;

/** Connects clients one after another to each proxy at a constant rate; each closes after its answer. */
public final class ConstantRateClients implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile boolean stopped;

  /** @param pauseMillis pause between two clients of one proxy */
  public ConstantRateClients(List<InetSocketAddress> proxies, long pauseMillis) {
    for (int i = 0; i < proxies.size(); i++) {
      InetSocketAddress proxy = proxies.get(i);
      int proxyIndex = i;
      Thread thread = new Thread(null, () -> sendRequests(proxy, proxyIndex, pauseMillis), "clients", 256 * 1024);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void sendRequests(InetSocketAddress proxy, int proxyIndex, long pauseMillis) {
    for (int i = 0; !stopped; i++) {
      String id = "%08x%08x".formatted(proxyIndex + 1, i);
      (switch (sendRequest(proxy, id, id)) {
        case "UP" -> served;
        case "BUSY" -> refused;
        default -> unanswered;
      }).incrementAndGet();
      try {
        Thread.sleep(pauseMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends one request with an id of 16 hex digits and a key. Returns the answer's first word, or the error. */
  public static String sendRequest(InetSocketAddress proxy, String id, String key) {
    try (LineConnection client = LineConnection.connect(proxy)) {
      client.setReadTimeout(READ_TIMEOUT_MILLIS);
      client.writeLines("OPEN " + id + " " + key + " c=chat,d=2000");
      String answer = client.readLine();
      return answer == null ? "end" : answer.split(" ")[0];
    } catch (IOException e) {
      return e.toString();
    }
  }

  public int served() {
    return served.get();
  }

  public int refused() {
    return refused.get();
  }

  /** Returns the number of clients that got neither UP nor BUSY. */
  public int unanswered() {
    return unanswered.get();
  }

  @Override
  public void close() {
    stopped = true;
    threads.forEach(Thread::interrupt);
  }
}
