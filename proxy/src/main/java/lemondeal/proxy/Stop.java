package lemondeal.proxy;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import lemondeal.config.Limits;
import lemondeal.net.Listener;
import lemondeal.net.Timers;

/**
 * The order to stop, carried out on the I/O thread. Connections that stand are served on for a while, then moved
 * step by step, and requests that are owed an answer get theirs. What becomes of those that still come depends on
 * who has the listening socket: if it is this process's own, they are throttled until it closes; if another
 * process accepts from it too, nothing more is accepted here, and all that was is served.
 */
final class Stop {
  private final Limits limits;
  private final Timers timers;
  private final AdmissionControl admission;
  private final Requests requests;
  /** Whether connections wait here whose first line has not come. */
  private final BooleanSupplier awaited;
  private final CountDownLatch done = new CountDownLatch(1);
  private long movedBy;

  Stop(Limits limits, Timers timers, AdmissionControl admission, Requests requests, BooleanSupplier awaited) {
    this.limits = limits;
    this.timers = timers;
    this.admission = admission;
    this.requests = requests;
    this.awaited = awaited;
  }

  /** For a process that has the clients' listening socket for itself. */
  void begin(Listener own) {
    endInTime();
    admission.throttle();
    timers.after(limits.drainAccept(), () -> {
      own.acceptRestAndClose();
      timers.after(requests.isEmpty() ? 0 : limits.drainHold(), () -> moveWithin(limits.drainSpread()));
    });
  }

  /**
   * For a process that shares it. Guards those whose line is still on its way: turned away, each of them would
   * count against the upgrade. The others have where to go at once, and so all of the time is used to move them.
   */
  void handOver(Listener shared) {
    endInTime();
    shared.suspend();
    moveWithin(limits.drainAccept() + limits.drainHold() + limits.drainSpread());
  }

  /**
   * Whoever is still inside shortly before the end gets what is owed. Guards the clients of a server that hangs: one
   * in the middle of a line, and a request that would wait longer than this process may, were cut off without a word.
   */
  private void endInTime() {
    timers.after(limits.drainMost() - limits.linger(),
        () -> requests.all().forEach(client -> client.link().guarded(client::endNow)));
    timers.after(limits.drainMost(), done::countDown);
  }

  void await() throws InterruptedException {
    done.await();
  }

  private void moveWithin(long micros) {
    movedBy = timers.now() + micros;
    moveSome();
  }

  /**
   * Moves a few clients, and the others step by step. Guards the other proxies, their servers and what stands
   * behind set-ups against a crowd: clients that are moved come again within a moment, all of them together.
   */
  private void moveSome() {
    long steps = Math.max(0, movedBy - timers.now()) / limits.drainStep();
    List<ClientLink> movable = requests.all().stream().filter(ClientLink::isMovable).toList();
    long share = (movable.size() + steps) / (steps + 1);
    for (ClientLink client : movable.subList(0, (int) share)) {
      client.link().guarded(client::move);
    }
    boolean allSeen = movable.size() <= share && !awaited.getAsBoolean();
    if (steps == 0 || allSeen) {
      // Who comes up from now on is moved at once. What was written last must still arrive before the end.
      admission.close(() -> timers.after(limits.linger(), done::countDown));
    } else {
      timers.after(limits.drainStep(), this::moveSome);
    }
  }
}
