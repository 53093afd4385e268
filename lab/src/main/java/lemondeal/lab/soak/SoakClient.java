package lemondeal.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import lemondeal.lab.LineConnection;
import org.apache.commons.rng.UniformRandomProvider;

/** One client, on its own thread: sends a request to one proxy, and stays connected for a while if it is served. */
final class SoakClient implements Runnable {
  /** How a client behaves; all of these conform to the protocol. */
  enum Behavior {
    STAYS, LEAVES_EARLY, RESETS_EARLY, WRITES_IN_PIECES,
    /** Closes its sending direction and waits for the answer. */
    HALF_CLOSES,
    /** Stays idle for about as long as a proxy allows, and then sends its request. */
    RESTS_FIRST,
    /** Sends a request with a very short deadline. */
    HURRIES
  }

  /** An answer up to this long after the deadline is late, but not lost; after that, the request counts as lost. */
  private static final long MAX_LATE_MILLIS = 500;
  private static final long LINE_INTERVAL_MILLIS = 400;
  private static final long MAX_LINE_DELAY_MILLIS = 1_000;
  /** PROTOCOL: a connection whose server has ended it must be ended or moved within a second. */
  private static final long MAX_KEPT_AFTER_END_MILLIS = 1_000;
  /** PROTOCOL: a connection on which a running server sends nothing back must be ended or moved within this time. */
  private static final long MAX_SILENCE_MILLIS = 7_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 3_000;
  private static final long MIN_DEADLINE_MILLIS = 100;
  /** A proxy closes a connection that sends no request for 2.3 s. */
  private static final long MIN_IDLE_MILLIS = 2_200;
  private static final long IDLE_SPREAD_MILLIS = 200;
  private static final long PIECE_INTERVAL_MILLIS = 20;
  private static final int GROUPS = 12;
  /** The load that a client announces in its request, in microseconds of work per second. */
  private static final int LOAD_HINT = 20_000;
  /** One in this many clients says in its request that it reconnects after a broken connection. */
  private static final int RECONNECTING_ONE_IN = 4;
  private static final AtomicLong LAST_ID = new AtomicLong();

  private final RuleChecker checker;
  private final SoakProxy proxy;
  private final RequestClass requestClass;
  private final Behavior behavior;
  private final long deadlineMillis;
  private final long stayMillis;
  private final long leaveAfterMillis;
  private final long idleMillis;
  private final String key;
  /** Further fields of the request line, after class and deadline. */
  private final String extraFields;

  SoakClient(RuleChecker checker, SoakProxy proxy, RequestClass requestClass, Behavior behavior, SoakConfig config,
      UniformRandomProvider random) {
    this.checker = checker;
    this.proxy = proxy;
    this.requestClass = requestClass;
    this.behavior = behavior;
    deadlineMillis = behavior == Behavior.HURRIES ? 1 + random.nextLong(MIN_DEADLINE_MILLIS)
        : MIN_DEADLINE_MILLIS + random.nextLong(config.longestDeadlineMillis() - MIN_DEADLINE_MILLIS);
    idleMillis = MIN_IDLE_MILLIS + random.nextLong(IDLE_SPREAD_MILLIS);
    stayMillis = 200 + random.nextLong(4_000);
    leaveAfterMillis = random.nextLong(200);
    key = "%016x".formatted(random.nextLong());
    extraFields = (config.groups() ? ",g=%016x".formatted(random.nextInt(GROUPS)) : "")
        + (config.tells() == SoakConfig.LoadReports.BOTH ? ",h=" + LOAD_HINT : "")
        + (random.nextInt(RECONNECTING_ONE_IN) == 0 ? ",again=1" : "");
  }

  @Override
  public void run() {
    SoakProxy.Incarnation target = proxy.incarnation();
    Socket socket = new Socket();
    try {
      socket.connect(new InetSocketAddress(proxy.address().getAddress(), proxy.address().getPort()),
          CONNECT_TIMEOUT_MILLIS);
    } catch (IOException e) {
      // No proxy accepted the connection, so no answer is due.
      close(socket);
      return;
    }
    try (LineConnection lines = new LineConnection(socket)) {
      runRequest(lines, target);
    } catch (IOException e) {
      // The request could not be sent because the process ended.
      excuseOrReportLost(target, e.toString());
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  private void runRequest(LineConnection lines, SoakProxy.Incarnation target) throws IOException {
    String id = "%016x".formatted(LAST_ID.incrementAndGet());
    RequestRecord request = checker.registerRequest(id, requestClass);
    checker.increment(RuleChecker.Counter.REQUESTS);
    if (behavior == Behavior.RESTS_FIRST) {
      Threads.sleepMillis(idleMillis);
    }
    try {
      send(lines, "OPEN " + id + " " + key + " c=" + requestClass.label + ",d=" + deadlineMillis + extraFields);
    } catch (IOException e) {
      // PROTOCOL: a request counts as accepted once its last byte has been written, which did not happen here.
      checker.increment(RuleChecker.Counter.EXCUSED);
      return;
    }
    if (behavior == Behavior.LEAVES_EARLY || behavior == Behavior.RESETS_EARLY) {
      closeEarly(lines, request);
      return;
    }
    if (behavior == Behavior.HALF_CLOSES) {
      lines.shutdownOutput();
    }
    awaitAnswer(lines, request, target);
  }

  private void send(LineConnection lines, String line) throws IOException {
    if (behavior != Behavior.WRITES_IN_PIECES) {
      lines.writeLines(line);
      return;
    }
    for (String piece : line.split("(?<=,)|(?<= )")) {
      lines.writeRaw(piece);
      Threads.sleepMillis(PIECE_INTERVAL_MILLIS);
    }
    lines.writeRaw("\r\n");
  }

  private void closeEarly(LineConnection lines, RequestRecord request) {
    checker.increment(RuleChecker.Counter.LEAVERS);
    Threads.sleepMillis(leaveAfterMillis);
    if (behavior == Behavior.RESETS_EARLY) {
      lines.reset();
    } else {
      lines.close();
    }
    request.clientClosedAt = System.nanoTime();
  }

  private void awaitAnswer(LineConnection lines, RequestRecord request, SoakProxy.Incarnation target)
      throws IOException {
    long sentAt = System.nanoTime();
    long timeoutMillis = deadlineMillis + MAX_LATE_MILLIS + checker.allowanceMillis();
    lines.setReadTimeout((int) timeoutMillis);
    String answer;
    try {
      answer = lines.readLine();
    } catch (SocketTimeoutException e) {
      reportLost(target, request,
          "no answer " + timeoutMillis + " ms after it was sent, with a deadline of " + deadlineMillis);
      return;
    } catch (IOException e) {
      reportLost(target, request, "reset " + millisSince(sentAt) + " ms after it was sent: " + e.getMessage());
      return;
    }
    if (answer == null) {
      reportLost(target, request, "closed with no answer " + millisSince(sentAt) + " ms after it was sent");
    } else if (answer.startsWith("UP ")) {
      Attempt attempt = checker.recordServed(request, answer.substring("UP ".length()));
      if (attempt != null) {
        exchangeLines(lines, request, attempt, target);
      }
    } else if (answer.equals("BUSY") || answer.startsWith("BUSY ")) {
      checker.recordRefusal(request);
    } else {
      checker.increment(RuleChecker.Counter.FAILED);
    }
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private void reportLost(SoakProxy.Incarnation target, RequestRecord request, String cause) {
    excuseOrReportLost(target, requestClass.label + " request " + request.id + ", " + behavior + ", " + cause
        + ", attempts " + request.attempts().stream().map(attempt -> attempt.server.id()).toList());
  }

  /** Reports a request as lost, unless its process was killed or replaced: clients must then retry by themselves. */
  private void excuseOrReportLost(SoakProxy.Incarnation target, String cause) {
    Threads.sleepMillis(50);
    SoakProxy.Incarnation current = proxy.incarnation();
    if (target.killed() || current.killed() || current != target) {
      checker.increment(RuleChecker.Counter.EXCUSED);
    } else {
      checker.reportViolation(Rule.LOST,
          "proxy " + proxy.number() + ", stopping " + (target.stopRequestedAt != 0) + ": " + cause);
    }
  }

  /** Sends lines, which the server echoes, until the client has stayed long enough or the connection ends. */
  private void exchangeLines(LineConnection lines, RequestRecord request, Attempt attempt,
      SoakProxy.Incarnation target) {
    long leaveAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(stayMillis);
    for (int i = 0; System.nanoTime() < leaveAt; i++) {
      long sentAt = System.nanoTime();
      try {
        lines.setReadTimeout((int) (MAX_SILENCE_MILLIS + checker.allowanceMillis()));
        lines.writeLines("line " + i);
        String echo = lines.readLine();
        while (echo != null && !echo.equals("MOVE") && !echo.endsWith("line " + i)) {
          echo = lines.readLine();
        }
        checker.increment(RuleChecker.Counter.LINES);
        if (echo == null || echo.equals("MOVE")) {
          checkConnectionEnd(request, attempt, target, echo);
          return;
        }
        if (!attempt.relayed) {
          checkLineDelay(request, attempt, echo);
        }
      } catch (SocketTimeoutException e) {
        if (!attempt.relayed && (!isEndExcused(attempt, target) || attempt.abandonedByServer)) {
          checker.reportViolation(Rule.DEAD_CONNECTION_KEPT, "request " + request.id + " at " + attempt.server.id()
              + " received no line for " + millisSince(sentAt) + " ms, from proxy " + proxy.number());
        }
        return;
      } catch (IOException e) {
        checkConnectionEnd(request, attempt, target, null);
        return;
      }
      Threads.sleepMillis(Math.min(LINE_INTERVAL_MILLIS, TimeUnit.NANOSECONDS.toMillis(leaveAt - System.nanoTime())));
    }
  }

  private void checkLineDelay(RequestRecord request, Attempt attempt, String echo) {
    String[] fields = echo.split(" ");
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) - Long.parseLong(fields[1]);
    if (delayMillis > MAX_LINE_DELAY_MILLIS + checker.allowanceMillis()) {
      checker.reportViolation(Rule.LINE_HELD, "a line of request " + request.id + " from " + attempt.server.id()
          + " was held " + delayMillis + " ms by proxy " + proxy.number());
    }
  }

  /** {@code lastLine} is MOVE, or null if the connection ended without a final line. */
  private void checkConnectionEnd(RequestRecord request, Attempt attempt, SoakProxy.Incarnation target,
      String lastLine) {
    if (lastLine != null) {
      checker.increment(RuleChecker.Counter.MOVED);
    } else if (!isEndExcused(attempt, target)) {
      checker.reportViolation(Rule.CUT_OFF, "request " + request.id + " at " + attempt.server.id() + ", from proxy "
          + proxy.number() + ", stopping " + (target.stopRequestedAt != 0));
    }
    long keptMillis = attempt.endedAt == 0 ? 0 : millisSince(attempt.endedAt);
    if (attempt.abandonedByServer && !attempt.relayed
        && keptMillis > MAX_KEPT_AFTER_END_MILLIS + LINE_INTERVAL_MILLIS + checker.allowanceMillis()) {
      checker.reportViolation(Rule.DEAD_CONNECTION_KEPT, "request " + request.id + " was kept " + keptMillis
          + " ms after " + attempt.server.id() + " had ended it");
    }
  }

  /** Whether the server, a relay or a SIGKILL may have caused the connection's end. */
  private boolean isEndExcused(Attempt attempt, SoakProxy.Incarnation target) {
    Threads.sleepMillis(50);
    return attempt.abandonedByServer || target.killed() || !attempt.closeDetectable || attempt.relayed;
  }
}
