package lemondeal.lab.stream;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Drains and replaces the servers of a small cluster of real proxies one after another, crashes one now and then, and
 * checks the guarantees of resumable sessions at the end. For demonstrations, and for runs longer than a test may take.
 */
public final class RollingDrain {
  private static final long STEP_MILLIS = 1000;
  /** Number of drains after which the newest server crashes. */
  private static final int DRAINS_PER_CRASH = 3;

  private final int proxies;
  private final int servers;
  private final int clientCount;
  private final PrintStream progress;
  private final Deque<String> inService = new ArrayDeque<>();
  private int addedCount;
  private int drainedCount;
  private int crashedCount;

  /** {@code progress} receives a line per second. */
  public RollingDrain(int proxies, int servers, int clients, PrintStream progress) {
    this.proxies = proxies;
    this.servers = servers;
    clientCount = clients;
    this.progress = progress;
  }

  /** Runs for about the given time. Returns the breaches of the guarantees. */
  public List<String> run(int seconds, int paceMillis) throws IOException, InterruptedException {
    try (ResumeTestCluster cluster = new ResumeTestCluster(proxies, servers, "checkpoint: 1s")) {
      for (int i = 1; i <= servers; i++) {
        inService.add("s-" + i);
      }
      int lines = seconds * 1000 / paceMillis;
      // A client that was moved several times needs longer; one that never finishes is a breach.
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(2L * seconds + 10);
      List<ResumingClient> clients = clients(cluster, lines, paceMillis, deadlineNanos);
      List<Thread> threads = ResumeTestCluster.start(clients);
      cluster.sessionStore().awaitSessions(clientCount);
      for (int second = 1; threads.stream().anyMatch(Thread::isAlive); second++) {
        Thread.sleep(STEP_MILLIS);
        if (second < seconds && second % 2 == 0) {
          drainNext(cluster);
        }
        reportProgress(second, cluster, clients);
      }
      ResumeTestCluster.await(threads);
      return ResumeChecker.breaches(cluster.sessionStore(), clients);
    }
  }

  private List<ResumingClient> clients(ResumeTestCluster cluster, int lines, int paceMillis, long deadlineNanos) {
    List<ResumingClient> clients = new ArrayList<>();
    for (int i = 1; i <= clientCount; i++) {
      clients.add(new ResumingClient(String.format("%08x", i),
          new ResumingClient.Settings(cluster::nextProxyAddress, ResumeTestCluster.RESUMABLE_CLASS, lines, paceMillis,
              true, deadlineNanos)));
    }
    return clients;
  }

  /** Drains the oldest server and adds a new one in its place. */
  private void drainNext(ResumeTestCluster cluster) throws IOException {
    String newServer = "t-" + ++addedCount;
    cluster.addServer(newServer);
    inService.add(newServer);
    cluster.drain(inService.poll());
    drainedCount++;
    if (drainedCount % DRAINS_PER_CRASH == 0 && inService.size() > 2) {
      cluster.kill(inService.pollLast());
      crashedCount++;
      String replacement = "t-" + ++addedCount;
      cluster.addServer(replacement);
      inService.add(replacement);
    }
  }

  private void reportProgress(int second, ResumeTestCluster cluster, List<ResumingClient> clients) {
    int doneCount = (int) clients.stream().filter(ResumingClient::isDone).count();
    long lines = clients.stream().mapToLong(ResumingClient::sent).sum();
    progress.printf(
        "%3d s: %d servers drained, %d crashed; %d lines sent, %d of %d clients done, %d rejected by session store%n",
        second, drainedCount, crashedCount, lines, doneCount, clients.size(), cluster.sessionStore().rejectedCount());
  }
}
