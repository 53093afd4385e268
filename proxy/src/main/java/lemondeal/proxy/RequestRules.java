package lemondeal.proxy;

import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.ServerEntry;

/**
 * What the protocol allows for one request now, by what has become of it so far. It knows nothing of how a module
 * decides, and is asked right before a step is taken. Times are microseconds on the process's clock.
 */
final class RequestRules {
  /** WIRE 13: what has become of the attempts so far. */
  private enum State { NEVER_RAN, MAY_HAVE_RUN, ANSWERED }

  /** As of when a server was told to drain; {@link #NOT_DRAINING} for one that was not. */
  static final long NOT_DRAINING = Long.MAX_VALUE;

  /** STANDING: a proxy may be held up for so long between reading its clock and writing, in microseconds. */
  private static final long MAX_PROCESS_PAUSE = 150_000;

  private final RequestClass requestClass;
  private final long drainGrace;
  private State state = State.NEVER_RAN;
  private boolean attemptInProgress;
  /** The first attempt that may have run, null for a server that the list did not have; and when it was sent. */
  private ServerEntry firstRunServer;
  private long firstRunSentAt;
  private ServerEntry sentTo;
  private long sentAt;

  /** {@code drainGrace} 0: the settings have no such rule. */
  RequestRules(RequestClass requestClass, long drainGrace) {
    this.requestClass = requestClass;
    this.drainGrace = drainGrace;
  }

  /** The rule that an attempt at this server would break if its first byte went out now, or null. */
  Violation violationBySending(long now, ServerEntry server, long drainingSince) {
    if (state == State.ANSWERED) {
      return Violation.SENT_AFTER_ANSWER;
    }
    if (attemptInProgress) {
      return Violation.PARALLEL_ATTEMPT;
    }
    if (drainGrace > 0 && drainingSince != NOT_DRAINING && now - drainingSince > drainGrace) {
      return Violation.SENT_TO_DRAINING;
    }
    return state == State.MAY_HAVE_RUN ? violationByRepeating(now, server) : null;
  }

  /**
   * Whether a send to a server that was told to drain would come so late in the grace that being held up could end it:
   * once before the notice is read, which counts from its being written, and once before the write. Such a send breaks
   * no rule yet: its dial began before the notice.
   */
  boolean isLateForDraining(long now, long drainingSince) {
    return drainGrace > 0 && drainingSince != NOT_DRAINING && now - drainingSince > drainGrace - 2 * MAX_PROCESS_PAUSE;
  }

  private Violation violationByRepeating(long now, ServerEntry server) {
    return switch (requestClass.idempotency()) {
      case SAFE -> null;
      case KEYED -> !deduplicatesRepeats(server) ? Violation.REPEATED
          : now > firstRunSentAt + requestClass.dedupWindow() ? Violation.REPEATED_LATE : null;
      case UNSAFE -> Violation.REPEATED;
    };
  }

  /** Whether the server is of those that drop the repeats of what may have run. */
  private boolean deduplicatesRepeats(ServerEntry server) {
    if (requestClass.dedupScope() == DedupScope.ALL) {
      return true;
    }
    if (server == null || firstRunServer == null || server.zone() != firstRunServer.zone()) {
      return false;
    }
    return requestClass.dedupScope() == DedupScope.ZONE || server.cell() == firstRunServer.cell();
  }

  /** An attempt begins: its first bytes go out. */
  void attemptSent(long now, ServerEntry server) {
    attemptInProgress = true;
    sentTo = server;
    sentAt = now;
  }

  /** The attempt that was out has ended so. */
  void attemptEnded(Outcome outcome) {
    if (attemptInProgress && outcome.mayHaveRun && state == State.NEVER_RAN) {
      state = State.MAY_HAVE_RUN;
      firstRunServer = sentTo;
      firstRunSentAt = sentAt;
    }
    attemptInProgress = false;
  }

  /** The rule that a promise that trying again is harmless would break now, or null. */
  Violation violationByRefusing() {
    boolean mayHaveRun = attemptInProgress || state == State.MAY_HAVE_RUN;
    boolean harmless = requestClass.idempotency() == Idempotency.SAFE
        || (requestClass.idempotency() == Idempotency.KEYED && requestClass.dedupScope() == DedupScope.ALL);
    return mayHaveRun && !harmless ? Violation.REFUSED_AFTER_RUNNING : null;
  }

  /** Its one final answer goes out, or its client has left: nothing is owed any more. */
  void answered() {
    state = State.ANSWERED;
  }
}
