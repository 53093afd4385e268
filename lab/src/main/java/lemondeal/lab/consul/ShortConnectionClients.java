package lemondeal.lab.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import lemondeal.lab.LineConnection;

/**
 * Clients that repeatedly open a connection, hold it briefly and close it, each on its own thread. Checks the rule of
 * the protocol for each request: exactly one final answer within the deadline.
 */
public final class ShortConnectionClients implements AutoCloseable {
  private static final int DEADLINE_MILLIS = 2000;
  /** Time that the protocol allows for the final answer after the deadline. */
  private static final int ANSWER_SLACK_MILLIS = 500;
  private static final AtomicLong IDS = new AtomicLong();

  private final Supplier<InetSocketAddress> nextProxy;
  private final String className;
  private final List<Thread> threads = new ArrayList<>();
  private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();
  private final List<String> breaches = java.util.Collections.synchronizedList(new ArrayList<>());
  private volatile boolean running = true;

  /** Starts {@code count} clients of a request class. */
  public ShortConnectionClients(Supplier<InetSocketAddress> nextProxy, int count, String className) {
    this.nextProxy = nextProxy;
    this.className = className;
    for (int i = 0; i < count; i++) {
      Thread thread = new Thread(null, this::run, "client-" + i, 256 * 1024);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  private void run() {
    while (running) {
      try {
        runRequest();
      } catch (IOException e) {
        countAnswer("broken");
        sleep(50);
      }
    }
  }

  private void runRequest() throws IOException {
    String id = String.format("%016x", IDS.incrementAndGet());
    String key = String.format("%016x", ThreadLocalRandom.current().nextLong());
    long started = System.nanoTime();
    try (LineConnection lines = LineConnection.connect(nextProxy.get())) {
      lines.setReadTimeout(DEADLINE_MILLIS + ANSWER_SLACK_MILLIS);
      lines.writeLines("OPEN " + id + " " + key + " c=" + className + ",d=" + DEADLINE_MILLIS + ",g=" + key);
      String answer;
      try {
        answer = lines.readLine();
      } catch (SocketTimeoutException e) {
        breaches.add(id + ": no final answer in " + (DEADLINE_MILLIS + ANSWER_SLACK_MILLIS) + " ms");
        return;
      }
      long elapsedMillis = (System.nanoTime() - started) / 1_000_000;
      if (answer == null) {
        breaches.add(id + ": the connection ended without an answer after " + elapsedMillis + " ms");
        return;
      }
      String firstWord = answer.split(" ")[0];
      countAnswer(firstWord);
      if (firstWord.equals("UP")) {
        lines.setReadTimeout(50);
        lines.writeLines("hello");
        try {
          String echo = lines.readLine();
          if (echo != null && !echo.startsWith("ECHO") && !echo.equals("MOVE")) {
            breaches.add(id + ": after UP came '" + echo + "'");
          }
        } catch (SocketTimeoutException e) {
          // No line arrived while the connection was held open.
        }
      } else if (firstWord.equals("BUSY")) {
        String[] fields = answer.split(" ");
        sleep(fields.length > 1 ? Math.min(1000, Long.parseLong(fields[1])) : 100);
      }
    }
  }

  private void countAnswer(String answer) {
    counts.computeIfAbsent(answer, k -> new AtomicLong()).incrementAndGet();
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the number of answers by their first word, and of broken connections. */
  public Map<String, Long> counts() {
    Map<String, Long> copy = new java.util.TreeMap<>();
    counts.forEach((word, count) -> copy.put(word, count.get()));
    return copy;
  }

  /** Returns the breaches of the rule of one final answer in time. */
  public List<String> breaches() {
    synchronized (breaches) {
      return List.copyOf(breaches);
    }
  }

  /** Stops all clients, each after its current request. */
  public void stop() throws InterruptedException {
    running = false;
    for (Thread thread : threads) {
      thread.join(10_000);
    }
  }

  @Override
  public void close() {
    try {
      stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
