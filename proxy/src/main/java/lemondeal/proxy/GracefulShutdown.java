package lemondeal.proxy;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lemondeal.config.Limits;
import lemondeal.net.Listener;
import lemondeal.net.Timers;

/**
 * A graceful shutdown, carried out on the I/O thread. Established connections are served for a while, then moved step
 * by step, and requests that are owed an answer get theirs. What happens to new clients depends on who has the
 * listening socket: if it is this process's own, they are throttled until it closes; if another process accepts from it
 * too, nothing more is accepted here, and all that was accepted is served.
 */
final class GracefulShutdown {
  /** Passed in this order; never goes back. */
  private enum State { NOT_STARTED, SERVING, MOVING, DONE }

  private final Limits limits;
  private final Timers timers;
  private final AdmissionControl admission;
  private final ActiveRequests requests;
  /** Whether connections are open whose first line has not arrived. */
  private final BooleanSupplier hasPendingLinks;
  /** Ends those connections with an answer. */
  private final Runnable endPendingLinks;
  private final CountDownLatch done = new CountDownLatch(1);
  private State state = State.NOT_STARTED;
  private Listener listener;
  private long moveDeadline;

  GracefulShutdown(Limits limits, Timers timers, AdmissionControl admission, ActiveRequests requests,
      BooleanSupplier hasPendingLinks, Runnable endPendingLinks) {
    this.limits = limits;
    this.timers = timers;
    this.admission = admission;
    this.requests = requests;
    this.hasPendingLinks = hasPendingLinks;
    this.endPendingLinks = endPendingLinks;
  }

  /** For a process that has the clients' listening socket to itself. */
  void begin(Listener ownListener) {
    if (startOnce(ownListener)) {
      admission.throttle();
      timers.after(limits.drainAcceptTime(), () -> {
        long closesAt = timers.now();
        ownListener.acceptBacklogAndClose(() -> serveOn(closesAt));
      });
    }
  }

  /** The socket is closed: admitted clients are served for a while, counted from when it was to close. */
  private void serveOn(long closesAt) {
    long remaining = requests.isEmpty() ? 0 : closesAt + limits.drainHoldTime() - timers.now();
    timers.after(Math.max(0, remaining), () -> moveWithin(limits.drainMoveTime()));
  }

  /**
   * For a process that shares the socket. Protects clients whose first line is still on its way: each one throttled
   * would count against the upgrade. The others can reconnect to the other process at once, and so all of the time is
   * used to move them.
   */
  void handOver(Listener sharedListener) {
    if (startOnce(sharedListener)) {
      sharedListener.suspend();
      moveWithin(limits.drainAcceptTime() + limits.drainHoldTime() + limits.drainMoveTime());
    }
  }

  /** Whether this is the first order to stop; its time limits apply, and another one changes nothing. */
  private boolean startOnce(Listener clientListener) {
    if (state != State.NOT_STARTED) {
      return false;
    }
    state = State.SERVING;
    listener = clientListener;
    timers.after(limits.drainTimeout() - limits.lingerTimeout(), this::endRequests);
    timers.after(limits.drainTimeout(), this::end);
    return true;
  }

  void await() throws InterruptedException {
    done.await();
  }

  /**
   * Clients that remain shortly before the end get what is owed. Protects the clients of a server that hangs: one in
   * the middle of a line, and a request that would wait longer than this process may, were cut off without an answer.
   */
  private void endRequests() {
    requests.all().forEach(client -> readThenApply(client, ClientLink::endNow));
  }

  private void end() {
    if (state != State.DONE) {
      state = State.DONE;
      endPendingLinks.run();
      requests.all().forEach(ClientLink::endAtProcessExit);
      listener.readAndCloseAll();
      done.countDown();
    }
  }

  private void moveWithin(long micros) {
    state = State.MOVING;
    moveDeadline = timers.now() + micros;
    moveNextBatch();
  }

  /**
   * Moves some clients now, and the others in later steps. Protects the other proxies, their servers and what those
   * need to set up connections against a thundering herd: clients that are moved reconnect within a moment, all of them
   * together.
   */
  private void moveNextBatch() {
    long remainingSteps = Math.max(0, moveDeadline - timers.now()) / limits.drainStepInterval();
    List<ClientLink> movable = requests.all().stream().filter(ClientLink::isMovable).toList();
    long batchSize = (movable.size() + remainingSteps) / (remainingSteps + 1);
    movable.subList(0, (int) batchSize).forEach(
        client -> readThenApply(client, moved -> moved.move(EndReason.STOPPING)));
    boolean noneRemaining = movable.size() <= batchSize && !hasPendingLinks.getAsBoolean();
    if (remainingSteps == 0 || noneRemaining) {
      // Connections that are established from now on are moved at once.
      admission.close(() -> timers.after(limits.lingerTimeout(), this::endUnlessPending));
    } else {
      timers.after(limits.drainStepInterval(), this::moveNextBatch);
    }
  }

  /**
   * What was written last has arrived by now. Protects clients whose first line is on its way when no other client is
   * left: they were cut off while there was time.
   */
  private void endUnlessPending() {
    if (!hasPendingLinks.getAsBoolean()) {
      end();
    }
  }

  /**
   * Reads what this client has written, then runs an action that ends its connection. Protects the last line to the
   * client: many connections end at once, more than may linger, and one that was closed with unread bytes was reset.
   */
  private static void readThenApply(ClientLink client, Consumer<ClientLink> action) {
    client.link().readNow();
    client.link().runGuarded(() -> action.accept(client));
  }
}
