package lemondeal.lab.site;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import lemondeal.lab.Lines;

/** Clients that come one after another to each proxy, at an even pace, stay a moment and go. Ended with their owner. */
public final class SteadyClients implements AutoCloseable {
  private static final int PATIENCE_MILLIS = 5_000;

  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean over;

  /** @param pauseMillis between two clients of one proxy */
  public SteadyClients(List<InetSocketAddress> proxies, long pauseMillis) {
    for (int i = 0; i < proxies.size(); i++) {
      InetSocketAddress proxy = proxies.get(i);
      int place = i;
      Thread thread = new Thread(null, () -> come(proxy, place, pauseMillis), "clients", 256 * 1024);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void come(InetSocketAddress proxy, int place, long pauseMillis) {
    for (int i = 0; !over; i++) {
      String id = "%08x%08x".formatted(place + 1, i);
      (switch (once(proxy, id, id)) {
        case "UP" -> served;
        case "BUSY" -> refused;
        default -> lost;
      }).incrementAndGet();
      try {
        Thread.sleep(pauseMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** One client with this id, 16 hexadecimal digits, and key: the first word of its answer, or what went wrong. */
  public static String once(InetSocketAddress proxy, String id, String key) {
    try (Lines client = Lines.to(proxy)) {
      client.patience(PATIENCE_MILLIS);
      client.write("OPEN " + id + " " + key + " c=chat,d=2000");
      String answer = client.read();
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
  public int lost() {
    return lost.get();
  }

  @Override
  public void close() {
    over = true;
    threads.forEach(Thread::interrupt);
  }
}
