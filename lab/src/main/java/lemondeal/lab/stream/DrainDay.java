package lemondeal.lab.stream;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A day of drains at a small site of real proxies, for whoever wants to see resumable moves at work, or to run them for
 * longer than a test may: servers drain in turn and are replaced, now and then one dies, and at the end the promises are
 * checked.
 */
public final class DrainDay {
  private static final long STEP_MILLIS = 1000;
  /** Every so many drains the newest server dies without a word. */
  private static final int DEATH_EVERY = 3;

  private final int proxies;
  private final int servers;
  private final int clientCount;
  private final PrintStream progress;
  private final Deque<String> inService = new ArrayDeque<>();
  private int made;
  private int drained;
  private int died;

  /** {@code progress} hears a line a second. */
  public DrainDay(int proxies, int servers, int clients, PrintStream progress) {
    this.proxies = proxies;
    this.servers = servers;
    clientCount = clients;
    this.progress = progress;
  }

  /** Runs for about so many seconds; the breaches of the promises, none if all is well. */
  public List<String> run(int seconds, int paceMillis) throws IOException, InterruptedException {
    try (StreamSite site = new StreamSite(proxies, servers, "checkpoint: 1s")) {
      for (int i = 1; i <= servers; i++) {
        inService.add("s-" + i);
      }
      int lines = seconds * 1000 / paceMillis;
      // A client that was moved a few times needs somewhat longer; one that never comes through is a breach.
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(2L * seconds + 10);
      List<ResumingClient> clients = clients(site, lines, paceMillis, until);
      List<Thread> threads = StreamSite.start(clients);
      site.store().awaitTaken(clientCount);
      for (int second = 1; threads.stream().anyMatch(Thread::isAlive); second++) {
        Thread.sleep(STEP_MILLIS);
        if (second < seconds && second % 2 == 0) {
          drainNext(site);
        }
        tell(second, site, clients);
      }
      StreamSite.await(threads);
      return StreamChecker.breaches(site.store(), clients);
    }
  }

  private List<ResumingClient> clients(StreamSite site, int lines, int paceMillis, long until) {
    List<ResumingClient> clients = new ArrayList<>();
    for (int i = 1; i <= clientCount; i++) {
      clients.add(new ResumingClient(String.format("%08x", i),
          new ResumingClient.Plan(site::front, StreamSite.CLASS, lines, paceMillis, true, until)));
    }
    return clients;
  }

  /** The oldest server drains, and a fresh one takes its place. */
  private void drainNext(StreamSite site) throws IOException {
    String fresh = "t-" + ++made;
    site.addServer(fresh);
    inService.add(fresh);
    site.drain(inService.poll());
    drained++;
    if (drained % DEATH_EVERY == 0 && inService.size() > 2) {
      site.kill(inService.pollLast());
      died++;
      String instead = "t-" + ++made;
      site.addServer(instead);
      inService.add(instead);
    }
  }

  private void tell(int second, StreamSite site, List<ResumingClient> clients) {
    int done = (int) clients.stream().filter(ResumingClient::isDone).count();
    long lines = clients.stream().mapToLong(ResumingClient::sent).sum();
    progress.printf("%3d s: %d servers drained, %d died; %d lines sent, %d of %d clients done, %d kept out by the fence%n",
        second, drained, died, lines, done, clients.size(), site.store().refused());
  }
}
