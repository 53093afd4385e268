package lemondeal.lab.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import lemondeal.lab.LineConnection;

/** Clients that come one after another to each proxy, at an even pace, stay a moment and go. Ended with their owner. */
public final class ConstantRateClients implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 5_000;

  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile boolean stopped;

  /** @param pauseMillis between two clients of one proxy */
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

  /** One client with this id, 16 hexadecimal digits, and key: the first word of its answer, or what went wrong. */
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

  /** Clients that got neither. */
  public int unanswered() {
    return unanswered.get();
  }

  @Override
  public void close() {
    stopped = true;
    threads.forEach(Thread::interrupt);
  }
}
