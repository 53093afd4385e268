package lemondeal.proxy;

import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.ServerEntry;

/**
 * What the protocol allows for one request now, given what has happened to it so far. It does not depend on how a
 * module decides, and is checked right before a step is taken. Times are microseconds on the process's clock.
 */
final class RequestRules {
  /** WIRE 13: what the attempts so far may have done. */
  private enum State { NEVER_RAN, MAY_HAVE_RUN, ANSWERED }

  /** The draining time of a server that was not announced as draining. */
  static final long NOT_DRAINING = Long.MAX_VALUE;

  /** STANDING: a proxy may be paused for this long between reading its clock and writing, in microseconds. */
  static final long MAX_PROCESS_PAUSE = 150_000;

  private final RequestClass requestClass;
  private final long drainGrace;
  private State state = State.NEVER_RAN;
  private boolean attemptInProgress;
  /** The server of the first attempt that may have run, null if the list did not have it; and when that was sent. */
  private ServerEntry firstRunServer;
  private long firstRunSentAt;
  private ServerEntry sentTo;
  private long sentAt;

  /** {@code drainGrace} is 0 if the settings have no such rule. */
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
   * Whether a send to a draining server would come so late in the grace period that pauses of the process could exceed
   * it: one before the notice is read, as the period runs from when the notice was written, and one before the write.
   * Such a send breaks no rule yet: its dial began before the notice.
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

  /** Whether the server is one of those that deduplicate repeats of what may have run. */
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

  /** The attempt in progress has ended with this outcome. */
  void attemptEnded(Outcome outcome) {
    if (attemptInProgress && outcome.mayHaveRun && state == State.NEVER_RAN) {
      state = State.MAY_HAVE_RUN;
      firstRunServer = sentTo;
      firstRunSentAt = sentAt;
    }
    attemptInProgress = false;
  }

  /** The rule that a refusal, which promises that a retry is harmless, would break now, or null. */
  Violation violationByRefusing() {
    boolean mayHaveRun = attemptInProgress || state == State.MAY_HAVE_RUN;
    boolean harmless = requestClass.idempotency() == Idempotency.SAFE
        || (requestClass.idempotency() == Idempotency.KEYED && requestClass.dedupScope() == DedupScope.ALL);
    return mayHaveRun && !harmless ? Violation.REFUSED_AFTER_RUNNING : null;
  }

  /** The final answer goes out, or the client has disconnected: no answer is owed any more. */
  void answered() {
    state = State.ANSWERED;
  }
}
