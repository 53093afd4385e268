package lemondeal.discovery.clock;

/**
 * Determines when a list change counts as known to this proxy, which then must act on it, whether or not the change
 * arrived. From that follow when a watch is broken, how long the held list may still be used and when discovery must be
 * called. All these deadlines are defined here. Pure: events and their times go in, deadlines come out; nothing else is
 * read. All times are microseconds on the caller's clock, {@link #NEVER} where no time is set.
 *
 * <p>Where something is not known for certain the strict assumption applies: a change counts as known at the earliest
 * possible time.
 */
public final class ListClock {
  /** No such time; later than all others. */
  public static final long NEVER = Long.MAX_VALUE / 4;

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  /** Interval of the empty lines that a watch sends while nothing changes. */
  private static final long HEARTBEAT_INTERVAL = 2 * SECOND;
  /**
   * How late such a line may arrive before the watch counts as broken, for network delay and scheduling on a busy
   * machine.
   */
  private static final long HEARTBEAT_TOLERANCE = 600 * MILLI;
  /** A change missed by a silent watch or call counts as known this long after the silence began. */
  private static final long SILENCE_KNOWN_DELAY = 6 * SECOND;
  /** A change counts as known at the latest this long after discovery had it and was reachable, whatever failed. */
  private static final long MAX_KNOWN_DELAY = 6 * SECOND;
  /** The same limit after a long poll, counted from the end of its wait. */
  private static final long LONG_POLL_KNOWN_DELAY = 2 * SECOND;
  /** Discovery serves calls one after another: a call that receives no bytes for this long is given up. */
  private static final long IDLE_TIMEOUT = 3_500 * MILLI;
  /**
   * An answer that arrives in pieces must have a complete first line within this time, so that enough time is left for
   * another call.
   */
  private static final long FIRST_LINE_TIMEOUT = 4_500 * MILLI;
  /** After a reload, changes at the newly configured discovery do not count as known for this long. */
  private static final long RELOAD_KNOWN_DELAY = 4 * SECOND;
  /** After a failed call the held list counts as current for this many times as long. */
  private static final int FAILED_CALL_FACTOR = 4;
  /** This many mean pauses, and three of the longest, fit into a drain grace, within which an answer must arrive. */
  private static final int PAUSES_PER_GRACE = 5;
  /**
   * How long a call is kept open, in microseconds, if it waits in discovery's queue. One that is rejected sooner shows
   * that discovery is down: PROTOCOL knows these two reasons for a failed call.
   */
  public static final long MIN_QUEUE_WAIT = 300 * MILLI;
  /** Push mode: the mean pause after the first failed call, which doubles each time up to {@link #MAX_BACKOFF}. */
  private static final long INITIAL_BACKOFF = 40 * MILLI;
  /** Lower bound of any pause, in both modes. */
  private static final long MIN_BACKOFF = 20 * MILLI;
  private static final long MAX_BACKOFF = 600 * MILLI;

  /**
   * How lists are delivered and what the rules allow.
   *
   * @param pushed whether lists are pushed; if so, whatever the agent at discovery's address holds counts as known
   * @param pollInterval in poll mode, how long a proxy without a watch may go without a call
   * @param drainGrace how long after a server is known to be draining or gone the sends to it must have ended
   * @param slack tolerance added to each of the rules' time limits
   * @param longPollWait how long discovery may hold a call before it answers; 0 for a watch, which sends lines at a
   *     steady interval
   */
  public record Settings(boolean pushed, long pollInterval, long drainGrace, long slack, long longPollWait) {}

  /**
   * For how long new requests may be sent by a held list.
   *
   * @param until when it expires, {@link #NEVER} if no limit is known
   * @param outagePossible whether discovery may be down, in which case nothing new counts and the list has not expired:
   *     it ended an intact watch, as it does when it goes down (PROTOCOL), and has answered no call since
   * @param afterAcceptance how long an expired list may still be used for a server, counted from a request that it has
   *     accepted: a draining server accepts none, and none drains before it is listed so; 0 if that does not hold
   */
  public record Validity(long until, boolean outagePossible, long afterAcceptance) {
    public static final Validity UNLIMITED = new Validity(NEVER, false, 0);
  }

  private final Settings settings;
  private final long startedAt;
  /** Whether a watch or a long poll is open: until it ends, only silence shows that it is broken. */
  private boolean streamOpen;
  /** Whether the open watch or call has delivered a complete line. */
  private boolean anyLineReceived;
  /** When the open watch or call last delivered a complete line, or was started; NEVER if none is open. */
  private long lastLineAt = NEVER;
  /** When it last delivered any bytes. */
  private long lastBytesAt = NEVER;
  /** Start of the silence of a broken watch or call; NEVER once discovery delivers a line again. */
  private long silentSince = NEVER;
  private long lastCallAt;
  private boolean lastCallFailed;
  private int failures;
  /** Time of the first change that may have been missed; NEVER while the watch is intact. */
  private long staleSince;
  private boolean unreachable;
  /** Whether a reachable discovery or agent has failed a call since the last line. */
  private boolean rejected;
  /** Whether the last intact watch was ended by discovery, and no line has come since. */
  private boolean watchEnded;
  /** When discovery was last seen to be down. */
  private long lastUnreachableAt = -NEVER;
  /**
   * No new change counts as known before this time: the process's start, discovery's return, or some time after a
   * reload.
   */
  private long earliestKnownAt;
  /** Since when discovery has been reachable: before the start, unless its return was observed. */
  private long reachableSince = -NEVER;

  /** A process that starts at {@code now} with a list of unknown age. */
  public ListClock(Settings settings, long now) {
    this.settings = settings;
    startedAt = now;
    lastCallAt = now;
    staleSince = now - MAX_KNOWN_DELAY;
    earliestKnownAt = now;
  }

  // ---- Events --------------------------------------------------------------------------------

  /** A call starts, for a watch or for the full list. */
  public void callStarted(long now) {
    lastCallAt = now;
    lastCallFailed = false;
    lastLineAt = now;
    lastBytesAt = now;
    anyLineReceived = false;
    streamOpen = settings.longPollWait() > 0;
  }

  /** A complete line arrived on a watch, possibly an empty one; the first line opens the watch. */
  public void lineReceived(long now) {
    discoveryReachable(now);
    // A watch that repeatedly ends after its first line is no better than one that delivers none.
    failures = anyLineReceived ? 0 : failures;
    streamOpen = true;
    anyLineReceived = true;
    lastLineAt = now;
    lastBytesAt = now;
    silentSince = NEVER;
    staleSince = NEVER;
    rejected = false;
    watchEnded = false;
  }

  /**
   * Part of a line arrived. It carries no information and does not keep a watch alive, but a call's first line may be
   * on its way.
   */
  public void bytesReceived(long now) {
    lastBytesAt = now;
  }

  /** The full list arrived, which completes the call. */
  public void listReceived(long now) {
    lineReceived(now);
    streamOpen = false;
    anyLineReceived = false;
    lastLineAt = NEVER;
    staleSince = now;
  }

  /** The open watch or call failed: it ended, or it was broken and given up. */
  public void callFailed(long now) {
    boolean agentSilent = settings.pushed() && isBroken(now) && lastBytesAt == lastLineAt && !anyLineReceived;
    endCall(now);
    if (agentSilent) {
      // An agent is silent while discovery is down.
      markUnreachable(now);
    }
  }

  private void endCall(long now) {
    rejected |= !anyLineReceived;
    watchEnded |= anyLineReceived && !isBroken(now);
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

  /** Discovery is unreachable: connections are refused, or it reports so itself. */
  public void discoveryUnreachable(long now) {
    endCall(now);
    markUnreachable(now);
  }

  private void markUnreachable(long now) {
    unreachable = true;
    rejected = false;
    lastUnreachableAt = now;
  }

  /**
   * The open call, which has delivered no line, ended with an error of discovery or a reset. Either it has waited too
   * long in discovery's queue, or discovery is down.
   *
   * @param connectedAt when the call's connection was established
   */
  public void callRejected(long connectedAt, long now) {
    if (now - connectedAt >= MIN_QUEUE_WAIT) {
      discoveryReachable(now);
      callFailed(now);
    } else {
      discoveryUnreachable(now);
    }
  }

  /**
   * Discovery is reachable again, by its answer or its queue. It may have been so since it was last seen to be down.
   */
  public void discoveryReachable(long now) {
    if (unreachable) {
      unreachable = false;
      failures = 0;
      reachableSince = lastUnreachableAt;
      earliestKnownAt = Math.max(earliestKnownAt, lastUnreachableAt);
      lastCallAt = Math.max(lastCallAt, lastUnreachableAt);
      lastCallFailed = false;
    }
  }

  /**
   * A new configuration applies from {@code now}: discovery may have moved, and the new one may list other states than
   * the held list.
   */
  public void reconfigured(long now) {
    unreachable = false;
    failures = 0;
    watchEnded = false;
    reachableSince = now;
    staleSince = Math.min(staleSince, now);
    earliestKnownAt = now + RELOAD_KNOWN_DELAY;
  }

  // ---- Deadlines -----------------------------------------------------------------------------

  /** When the open watch or call counts as broken unless data arrives first; {@link #NEVER} if none is open. */
  public long brokenAt() {
    if (lastLineAt == NEVER) {
      return NEVER;
    }
    return anyLineReceived ? lastLineAt + HEARTBEAT_INTERVAL + HEARTBEAT_TOLERANCE
        : streamOpen ? lastLineAt + settings.longPollWait() + HEARTBEAT_TOLERANCE
        : Math.min(lastBytesAt + IDLE_TIMEOUT, lastLineAt + FIRST_LINE_TIMEOUT);
  }

  /** Whether the open watch or call has been silent for so long that it must be replaced. */
  public boolean isBroken(long now) {
    return lastLineAt != NEVER && now >= brokenAt();
  }

  /**
   * When a change that discovery, or the agent, has had since {@code changedAt} and that has not arrived here counts as
   * known: {@link #NEVER} while discovery is unreachable, since the limits restart when it returns.
   */
  public long knownAt(long changedAt) {
    if (unreachable) {
      return NEVER;
    }
    return Math.min(knownAtByCallHistory(changedAt), latestKnownAt(changedAt));
  }

  /** The limits that depend on how lists are delivered and on how the calls ended. */
  private long knownAtByCallHistory(long changedAt) {
    long earliest = Math.max(changedAt, earliestKnownAt);
    if (streamOpen && changedAt < lastLineAt) {
      return earliest;
    }
    long silenceStart = Math.min(lastLineAt, silentSince);
    long missedKnownAt = changedAt < silenceStart ? NEVER : Math.max(earliest, missedChangesKnownAt(silenceStart));
    return streamOpen ? missedKnownAt : Math.min(missedKnownAt,
        settings.pushed() ? earliest : Math.max(earliestKnownAt, polledKnownAt(changedAt)));
  }

  /** The limit that applies in every case, but not before this process started. */
  private long latestKnownAt(long changedAt) {
    return Math.max(startedAt, Math.max(changedAt, reachableSince) + MAX_KNOWN_DELAY);
  }

  /**
   * In poll mode without a watch, the held list counts as current for a time, and after that each change counts as
   * known one poll interval after it was made.
   */
  private long polledKnownAt(long changedAt) {
    long validFor = settings.pollInterval() * (lastCallFailed ? FAILED_CALL_FACTOR : 1);
    return Math.max(lastCallAt + validFor, changedAt + settings.pollInterval());
  }

  private long missedChangesKnownAt(long silenceStart) {
    long afterLongPoll = settings.longPollWait() > 0 ? lastCallAt + settings.longPollWait() + LONG_POLL_KNOWN_DELAY
        : silenceStart;
    return Math.max(silenceStart + SILENCE_KNOWN_DELAY, afterLongPoll);
  }

  /** When sends must have ended to a server that discovery has listed as draining or gone since {@code changedAt}. */
  public long sendDeadline(long changedAt) {
    long known = knownAt(changedAt);
    return known == NEVER ? NEVER : known + settings.drainGrace() + settings.slack();
  }

  /**
   * The earliest time at which the held list may have expired, by the strictest reading; NEVER if no change can have
   * been missed. A list must be fetched before.
   */
  public long listValidUntil(long now) {
    long missedSince = missedSince(now);
    return missedSince == NEVER ? NEVER : sendDeadline(missedSince);
  }

  /**
   * Until when new requests may be sent by the held list: from then on a server that it has as ready may have been
   * draining for too long. No limit if no change can have been missed, and while discovery is unreachable. A process in
   * poll mode learns nothing from before its start, so the changes of that time count from there. In push mode an agent
   * that says nothing is either broken, and what it has counts 6 s after its silence began, or has nothing to say since
   * discovery is down; what an agent has that fails a call counts at once.
   */
  public Validity validity(long now) {
    long missedSince = missedSince(now);
    if (missedSince == NEVER || unreachable) {
      return Validity.UNLIMITED;
    }
    long since = Math.max(missedSince, startedAt);
    long until = settings.pushed() && !rejected ? since + SILENCE_KNOWN_DELAY + settings.drainGrace() + settings.slack()
        : sendDeadline(since);
    return new Validity(until, watchEnded, shortestKnownDelay() + settings.drainGrace() + settings.slack());
  }

  /** The least time from a change at discovery until it counts as known here although it has not arrived. */
  private long shortestKnownDelay() {
    return settings.pushed() ? 0 : Math.min(settings.pollInterval(), MAX_KNOWN_DELAY);
  }

  /** When the first change that may have been missed was made; NEVER if none can have been. */
  private long missedSince(long now) {
    return isBroken(now) ? Math.min(staleSince, lastLineAt) : staleSince;
  }

  /**
   * When discovery must be called next. With an intact watch or a pending call, not before that is broken. In push mode
   * soon, since what the agent holds already counts as known, with growing pauses. In poll mode the caller chooses its
   * pauses, and this is the latest time for the next call, with time left before the held list expires. Towards the
   * expiry the pause shrinks, but no further than for one remaining drain grace; once the list has expired it is no
   * longer shortened.
   *
   * @param jitter a random number in [0, 1): proxies whose watches ended together must not call again together
   */
  public long nextCallAt(long now, double jitter) {
    if (lastLineAt != NEVER) {
      return Math.max(now, brokenAt());
    }
    double pause = settings.pushed() ? pushBackoff() * (0.5 + jitter) : pollPause(now) * (0.5 + jitter / 4);
    return now + (long) Math.max(MIN_BACKOFF, pause);
  }

  /** While discovery is unreachable, twice the usual maximum is short enough: pauses start over when it returns. */
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
