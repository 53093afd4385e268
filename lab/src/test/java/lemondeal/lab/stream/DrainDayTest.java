package lemondeal.lab.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients of real proxies, moved off servers that drain and cut off by servers that die. */
@Timeout(120)
class DrainDayTest {
  private static final int CLIENTS = 200;
  private static final int LINES = 60;
  private static final int PACE_MILLIS = 100;
  private static final int SERVERS = 6;

  static List<ResumingClient> clients(StreamSite site, int count, int lines, int paceMillis) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
    List<ResumingClient> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(new ResumingClient(String.format("%08x", i + 1),
          new ResumingClient.Plan(site::front, StreamSite.CLASS, lines, paceMillis, true, until)));
    }
    return clients;
  }

  /** Each server drains once and two die: nothing acknowledged is lost, repeated or out of order. */
  @Test
  void everyServerDrainsOnceAndTwoDie() throws Exception {
    try (StreamSite site = new StreamSite(3, SERVERS, "checkpoint: 500ms")) {
      List<ResumingClient> clients = clients(site, CLIENTS, LINES, PACE_MILLIS);
      List<Thread> threads = StreamSite.start(clients);
      while (site.store().size() < CLIENTS) {
        Thread.sleep(20);
      }
      for (int i = 1; i <= SERVERS; i++) {
        site.addServer("t-" + i);
        site.drain("s-" + i);
        while (site.server("s-" + i).standing() > 0) {
          Thread.sleep(20);
        }
        if (i % 3 == 0) {
          site.kill("t-" + i);
        }
      }
      StreamSite.await(threads);
      assertEquals(List.of(), StreamChecker.breaches(site.store(), clients));
      int continued = clients.stream().mapToInt(client -> client.notes().getOrDefault("at", 0)).sum();
      assertTrue(continued >= CLIENTS, "went on " + continued + " times");
    }
  }
}
