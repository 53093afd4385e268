package lemondeal.discovery.clock;

/**
 * When a change of the list counts as told to this proxy, whether it arrived or not, and so when a watch is broken, how
 * long the list held may still be used and when discovery has to be asked. The one place for these clocks. Pure: what
 * happened and when goes in, times come out; nothing is read from outside. All times are microseconds on the caller's
 * clock, {@link #NEVER} where no time is set.
 *
 * <p>What is not known for certain is taken the stricter way: a change counts as told as early as it may.
 */
public final class ListClock {
  /** No such time: later than all others. */
  public static final long NEVER = Long.MAX_VALUE / 4;

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  /** A watch brings an empty line this often while nothing changes. */
  private static final long HEARTBEAT_INTERVAL = 2 * SECOND;
  /** How late such a line may come before the watch counts as broken: the way, and turns of a busy machine. */
  private static final long HEARTBEAT_TOLERANCE = 600 * MILLI;
  /** What a silent watch or call misses counts as told so long after it fell silent. */
  private static final long SILENCE_KNOWN_DELAY = 6 * SECOND;
  /** Whatever else holds, and whatever failed: a change counts so long after discovery had it and could be reached. */
  private static final long MAX_KNOWN_DELAY = 6 * SECOND;
  /** The same after a call that may wait, counted from the end of its wait. */
  private static final long LONG_POLL_KNOWN_DELAY = 2 * SECOND;
  /** Discovery works through calls one after another: a call without a byte of an answer is given up after this. */
  private static final long IDLE_TIMEOUT = 3_500 * MILLI;
  /** An answer that comes in pieces has brought its first whole line by then: another call has to fit behind it. */
  private static final long FIRST_LINE_TIMEOUT = 4_500 * MILLI;
  /** After a new configuration, what the discovery named there has counts so long later. */
  private static final long RELOAD_KNOWN_DELAY = 4 * SECOND;
  /** A failed call lengthens the time for which the list held is the one that counts. */
  private static final int FAILED_CALL_FACTOR = 4;
  /** So many mean pauses, and three of the longest, fit into the time within which an answer has to come. */
  private static final int PAUSES_PER_GRACE = 5;
  /** Where lists are pushed: the mean pause after the first failed call, which doubles, and the longest it comes to. */
  private static final long INITIAL_BACKOFF = 40 * MILLI;
  private static final long MIN_BACKOFF = 20 * MILLI;
  private static final long MAX_BACKOFF = 600 * MILLI;

  /**
   * How lists come and what the rules allow.
   *
   * @param pushed whether lists come unasked: what the agent at discovery's address has counts as told then
   * @param askEvery where lists are asked for: how long a proxy without a watch may go without asking
   * @param drainGrace until when sends to a server must have ended once it is told that it drains or is gone
   * @param slack by which each of the rules' times is longer
   * @param callWait how long discovery may hold a call back before it answers; 0 for a watch, whose lines come steadily
   */
  public record Settings(boolean pushed, long pollInterval, long drainGrace, long slack, long longPollWait) {}

  private final Settings settings;
  private final long startedAt;
  /** Whether a watch is open, or a call out that may wait: until it ends, only its silence tells that it is broken. */
  private boolean streamOpen;
  /** Whether what is out has brought anything yet. */
  private boolean anyLineReceived;
  /** When what is out last brought a whole line, or began; NEVER with nothing out. */
  private long lastLineAt = NEVER;
  /** When it last brought anything at all. */
  private long lastBytesAt = NEVER;
  /** From when on a watch or call that was broken had brought nothing, until discovery is heard again. */
  private long silentSince = NEVER;
  private long lastCallAt;
  private boolean lastCallFailed;
  private int failures;
  /** The change that may have been missed first; NEVER while the watch is sound. */
  private long staleSince;
  private boolean unreachable;
  /** Before this nothing new counts: the process's start, discovery's return, a while after a new configuration. */
  private long earliestKnownAt;
  /** From when on discovery could be reached: from before the start, unless it was seen to return. */
  private long reachableSince = -NEVER;

  /** A process that starts at {@code now} with the list that it was given, which may be of any age. */
  public ListClock(Settings settings, long now) {
    this.settings = settings;
    startedAt = now;
    lastCallAt = now;
    staleSince = now - MAX_KNOWN_DELAY;
    earliestKnownAt = now;
  }

  // ---- What happened -------------------------------------------------------------------------

  /** A call goes out, for a watch or for the list. */
  public void callStarted(long now) {
    lastCallAt = now;
    lastCallFailed = false;
    lastLineAt = now;
    lastBytesAt = now;
    anyLineReceived = false;
    streamOpen = settings.longPollWait() > 0;
  }

  /** A whole line came on a watch, be it an empty one; the first opens it. */
  public void lineReceived(long now) {
    discoveryReachable(now);
    // One that ends behind its first line, time and again, is no better than one that brings none.
    failures = anyLineReceived ? 0 : failures;
    streamOpen = true;
    anyLineReceived = true;
    lastLineAt = now;
    lastBytesAt = now;
    silentSince = NEVER;
    staleSince = NEVER;
  }

  /** Part of a line came: it tells nothing, and keeps no watch alive, but a call's first line may be on its way. */
  public void bytesReceived(long now) {
    lastBytesAt = now;
  }

  /** The whole list came, and with it the call is over. */
  public void listReceived(long now) {
    lineReceived(now);
    streamOpen = false;
    anyLineReceived = false;
    lastLineAt = NEVER;
    staleSince = now;
  }

  /** What was out has failed: it ended, or it was broken and given up. */
  public void callFailed(long now) {
    staleSince = Math.min(staleSince, now);
    if (isBroken(now)) {
      silentSince = Math.min(silentSince, lastLineAt);
      staleSince = Math.min(staleSince, lastLineAt);
    }
    lastCallFailed = !anyLineReceived;
    failures++;
    streamOpen = false;
    anyLineReceived = false;
    lastLineAt = NEVER;
  }

  /** Discovery is out of reach: connections are refused, or it says so itself. */
  public void discoveryUnreachable(long now) {
    callFailed(now);
    unreachable = true;
  }

  /** Discovery is there again: a connection to it stands, whatever it answers. */
  public void discoveryReachable(long now) {
    if (unreachable) {
      unreachable = false;
      failures = 0;
      reachableSince = now;
      earliestKnownAt = Math.max(earliestKnownAt, now);
      lastCallAt = Math.max(lastCallAt, now);
      lastCallFailed = false;
    }
  }

  /** A new configuration counts from {@code now}: discovery may be elsewhere. */
  public void reconfigured(long now) {
    unreachable = false;
    failures = 0;
    earliestKnownAt = now + RELOAD_KNOWN_DELAY;
  }

  // ---- What follows --------------------------------------------------------------------------

  /** When the watch or call that is out is broken unless something comes before; {@link #NEVER} with none out. */
  public long brokenAt() {
    if (lastLineAt == NEVER) {
      return NEVER;
    }
    return anyLineReceived ? lastLineAt + HEARTBEAT_INTERVAL + HEARTBEAT_TOLERANCE
        : streamOpen ? lastLineAt + settings.longPollWait() + HEARTBEAT_TOLERANCE
        : Math.min(lastBytesAt + IDLE_TIMEOUT, lastLineAt + FIRST_LINE_TIMEOUT);
  }

  /** Whether the watch or call that is out has been silent for so long that it has to be made anew. */
  public boolean isBroken(long now) {
    return lastLineAt != NEVER && now >= brokenAt();
  }

  /**
   * When a change counts as told that discovery, or the agent, has from {@code changed} on and that has not arrived:
   * {@link #NEVER} while discovery is down, since the clock begins anew at its return.
   */
  public long knownAt(long changedAt) {
    if (unreachable) {
      return NEVER;
    }
    return Math.min(knownAtByCallHistory(changedAt), latestKnownAt(changedAt));
  }

  /** By the limits that differ with how lists come and with what happened to the calls. */
  private long knownAtByCallHistory(long changedAt) {
    long earliest = Math.max(changedAt, earliestKnownAt);
    if (streamOpen && changedAt < lastLineAt) {
      return earliest;
    }
    long silenceStart = Math.min(lastLineAt, silentSince);
    long missedKnownAt = changedAt < silenceStart ? NEVER : Math.max(earliest, missedChangesKnownAt(silenceStart));
    return streamOpen ? missedKnownAt : Math.min(missedKnownAt, settings.pushed() ? earliest : Math.max(earliestKnownAt, polledKnownAt(changedAt)));
  }

  /** By the limit that excuses nobody, not before this process began. */
  private long latestKnownAt(long changedAt) {
    return Math.max(startedAt, Math.max(changedAt, reachableSince) + MAX_KNOWN_DELAY);
  }

  /** A proxy that asks and has no watch is held to the list that it has, and then to the one from so long before. */
  private long polledKnownAt(long changedAt) {
    long validFor = settings.pollInterval() * (lastCallFailed ? FAILED_CALL_FACTOR : 1);
    return Math.max(lastCallAt + validFor, changedAt + settings.pollInterval());
  }

  private long missedChangesKnownAt(long silenceStart) {
    long afterLongPoll = settings.longPollWait() > 0 ? lastCallAt + settings.longPollWait() + LONG_POLL_KNOWN_DELAY : silenceStart;
    return Math.max(silenceStart + SILENCE_KNOWN_DELAY, afterLongPoll);
  }

  /** When sends to a server must have ended whose drain or end discovery has from {@code changed} on. */
  public long sendDeadline(long changedAt) {
    long known = knownAt(changedAt);
    return known == NEVER ? NEVER : known + settings.drainGrace() + settings.slack();
  }

  /** How long the list held may be gone by, even if it was changed since; NEVER where nothing can be missed. */
  public long listValidUntil(long now) {
    return isBroken(now) ? sendDeadline(lastLineAt) : staleSince == NEVER ? NEVER : sendDeadline(staleSince);
  }

  /**
   * When discovery has to be asked next. With a sound watch, or a call out, not before that is broken. Where lists are
   * pushed, soon, since what the agent has counts already, after pauses that grow. Where they are asked for, the pauses
   * are whoever asks' to choose: this is when it has waited too long, with time left before what is held is no good any
   * more, but in no more of a hurry than a grace allows, nor in any when it is too late.
   *
   * @param draw a random number in [0, 1): proxies whose watches ended together must not come back together
   */
  public long nextCallAt(long now, double jitter) {
    if (lastLineAt != NEVER) {
      return Math.max(now, brokenAt());
    }
    double pause = settings.pushed() ? pushBackoff() * (0.5 + jitter) : pollPause(now) * (0.5 + jitter / 4);
    return now + (long) Math.max(MIN_BACKOFF, pause);
  }

  /** While discovery is down twice the longest is short enough: pauses begin anew with its return. */
  private long pushBackoff() {
    long backoff = INITIAL_BACKOFF << Math.min(Math.max(0, failures - 1), 10);
    long maxPause = settings.drainGrace() * (unreachable ? 2 : 1) / PAUSES_PER_GRACE;
    return Math.min(backoff, Math.min(MAX_BACKOFF, maxPause));
  }

  private long pollPause(long now) {
    long maxPause = Math.min(settings.pollInterval(), MAX_KNOWN_DELAY);
    long remaining = listValidUntil(now) - now;
    return remaining <= 0 ? maxPause : Math.min(maxPause, Math.max(settings.drainGrace(), remaining));
  }
}
