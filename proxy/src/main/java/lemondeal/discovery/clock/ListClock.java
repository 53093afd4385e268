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
  private static final long LINE_EVERY = 2 * SECOND;
  /** How late such a line may come before the watch counts as broken: the way, and turns of a busy machine. */
  private static final long LINE_LATE = 600 * MILLI;
  /** What a silent watch or call misses counts as told so long after it fell silent. */
  private static final long MISSED = 6 * SECOND;
  /** Whatever else holds, and whatever failed: a change counts so long after discovery had it and could be reached. */
  private static final long LATEST = 6 * SECOND;
  /** The same after a call that may wait, counted from the end of its wait. */
  private static final long MISSED_AFTER_WAIT = 2 * SECOND;
  /** Discovery works through calls one after another: a call without a byte of an answer is given up after this. */
  private static final long ANSWER_WITHIN = 3_500 * MILLI;
  /** An answer that comes in pieces has brought its first whole line by then: another call has to fit behind it. */
  private static final long FIRST_LINE_WITHIN = 4_500 * MILLI;
  /** After a new configuration, what the discovery named there has counts so long later. */
  private static final long AFTER_RELOAD = 4 * SECOND;
  /** A failed call lengthens the time for which the list held is the one that counts. */
  private static final int FAILED_FACTOR = 4;
  /** So many mean pauses, and three of the longest, fit into the time within which an answer has to come. */
  private static final int CALLS_IN_TIME = 5;
  /** Where lists are pushed: the mean pause after the first failed call, which doubles, and the longest it comes to. */
  private static final long CALL_PAUSE_FIRST = 40 * MILLI;
  private static final long CALL_PAUSE_LEAST = 20 * MILLI;
  private static final long CALL_PAUSE_MOST = 600 * MILLI;

  /**
   * How lists come and what the rules allow.
   *
   * @param pushed whether lists come unasked: what the agent at discovery's address has counts as told then
   * @param askEvery where lists are asked for: how long a proxy without a watch may go without asking
   * @param drainGrace until when sends to a server must have ended once it is told that it drains or is gone
   * @param slack by which each of the rules' times is longer
   * @param callWait how long discovery may hold a call back before it answers; 0 for a watch, whose lines come steadily
   */
  public record Settings(boolean pushed, long askEvery, long drainGrace, long slack, long callWait) {}

  private final Settings settings;
  private final long startedAt;
  /** Whether a watch is open, or a call out that may wait: until it ends, only its silence tells that it is broken. */
  private boolean open;
  /** Whether what is out has brought anything yet. */
  private boolean answered;
  /** When what is out last brought a whole line, or began; NEVER with nothing out. */
  private long heardAt = NEVER;
  /** When it last brought anything at all. */
  private long stirredAt = NEVER;
  /** From when on a watch or call that was broken had brought nothing, until discovery is heard again. */
  private long silentSince = NEVER;
  private long calledAt;
  private boolean callFailed;
  private int failures;
  /** The change that may have been missed first; NEVER while the watch is sound. */
  private long blindSince;
  private boolean down;
  /** Before this nothing new counts: the process's start, discovery's return, a while after a new configuration. */
  private long countsFrom;
  /** From when on discovery could be reached: from before the start, unless it was seen to return. */
  private long reachableSince = -NEVER;

  /** A process that starts at {@code now} with the list that it was given, which may be of any age. */
  public ListClock(Settings settings, long now) {
    this.settings = settings;
    startedAt = now;
    calledAt = now;
    blindSince = now - LATEST;
    countsFrom = now;
  }

  // ---- What happened -------------------------------------------------------------------------

  /** A call goes out, for a watch or for the list. */
  public void called(long now) {
    calledAt = now;
    callFailed = false;
    heardAt = now;
    stirredAt = now;
    answered = false;
    open = settings.callWait() > 0;
  }

  /** A whole line came on a watch, be it an empty one; the first opens it. */
  public void heard(long now) {
    back(now);
    // One that ends behind its first line, time and again, is no better than one that brings none.
    failures = answered ? 0 : failures;
    open = true;
    answered = true;
    heardAt = now;
    stirredAt = now;
    silentSince = NEVER;
    blindSince = NEVER;
  }

  /** Part of a line came: it tells nothing, and keeps no watch alive, but a call's first line may be on its way. */
  public void stirred(long now) {
    stirredAt = now;
  }

  /** The whole list came, and with it the call is over. */
  public void answered(long now) {
    heard(now);
    open = false;
    answered = false;
    heardAt = NEVER;
    blindSince = now;
  }

  /** What was out has failed: it ended, or it was broken and given up. */
  public void failed(long now) {
    blindSince = Math.min(blindSince, now);
    if (broken(now)) {
      silentSince = Math.min(silentSince, heardAt);
      blindSince = Math.min(blindSince, heardAt);
    }
    callFailed = !answered;
    failures++;
    open = false;
    answered = false;
    heardAt = NEVER;
  }

  /** Discovery is out of reach: connections are refused, or it says so itself. */
  public void down(long now) {
    failed(now);
    down = true;
  }

  /** Discovery is there again: a connection to it stands, whatever it answers. */
  public void back(long now) {
    if (down) {
      down = false;
      failures = 0;
      reachableSince = now;
      countsFrom = Math.max(countsFrom, now);
      calledAt = Math.max(calledAt, now);
      callFailed = false;
    }
  }

  /** A new configuration counts from {@code now}: discovery may be elsewhere. */
  public void reconfigured(long now) {
    down = false;
    failures = 0;
    countsFrom = now + AFTER_RELOAD;
  }

  // ---- What follows --------------------------------------------------------------------------

  /** When the watch or call that is out is broken unless something comes before; {@link #NEVER} with none out. */
  public long brokenAt() {
    if (heardAt == NEVER) {
      return NEVER;
    }
    return answered ? heardAt + LINE_EVERY + LINE_LATE
        : open ? heardAt + settings.callWait() + LINE_LATE
        : Math.min(stirredAt + ANSWER_WITHIN, heardAt + FIRST_LINE_WITHIN);
  }

  /** Whether the watch or call that is out has been silent for so long that it has to be made anew. */
  public boolean broken(long now) {
    return heardAt != NEVER && now >= brokenAt();
  }

  /**
   * When a change counts as told that discovery, or the agent, has from {@code changed} on and that has not arrived:
   * {@link #NEVER} while discovery is down, since the clock begins anew at its return.
   */
  public long toldAt(long changed) {
    if (down) {
      return NEVER;
    }
    return Math.min(earlierToldAt(changed), latest(changed));
  }

  /** By the limits that differ with how lists come and with what happened to the calls. */
  private long earlierToldAt(long changed) {
    long counts = Math.max(changed, countsFrom);
    if (open && changed < heardAt) {
      return counts;
    }
    long silent = Math.min(heardAt, silentSince);
    long missed = changed < silent ? NEVER : Math.max(counts, missedBy(silent));
    return open ? missed : Math.min(missed, settings.pushed() ? counts : Math.max(countsFrom, heldUntil(changed)));
  }

  /** By the limit that excuses nobody, not before this process began. */
  private long latest(long changed) {
    return Math.max(startedAt, Math.max(changed, reachableSince) + LATEST);
  }

  /** A proxy that asks and has no watch is held to the list that it has, and then to the one from so long before. */
  private long heldUntil(long changed) {
    long held = settings.askEvery() * (callFailed ? FAILED_FACTOR : 1);
    return Math.max(calledAt + held, changed + settings.askEvery());
  }

  private long missedBy(long silent) {
    long afterWait = settings.callWait() > 0 ? calledAt + settings.callWait() + MISSED_AFTER_WAIT : silent;
    return Math.max(silent + MISSED, afterWait);
  }

  /** When sends to a server must have ended whose drain or end discovery has from {@code changed} on. */
  public long sendsEndBy(long changed) {
    long told = toldAt(changed);
    return told == NEVER ? NEVER : told + settings.drainGrace() + settings.slack();
  }

  /** How long the list held may be gone by, even if it was changed since; NEVER where nothing can be missed. */
  public long goodUntil(long now) {
    return broken(now) ? sendsEndBy(heardAt) : blindSince == NEVER ? NEVER : sendsEndBy(blindSince);
  }

  /**
   * When discovery has to be asked next. With a sound watch, or a call out, not before that is broken. Where lists are
   * pushed, soon, since what the agent has counts already, after pauses that grow. Where they are asked for, the pauses
   * are whoever asks' to choose: this is when it has waited too long, with time left before what is held is no good any
   * more, but in no more of a hurry than a grace allows, nor in any when it is too late.
   *
   * @param draw a random number in [0, 1): proxies whose watches ended together must not come back together
   */
  public long askAt(long now, double draw) {
    if (heardAt != NEVER) {
      return Math.max(now, brokenAt());
    }
    double pause = settings.pushed() ? pushedPause() * (0.5 + draw) : timeToAsk(now) * (0.5 + draw / 4);
    return now + (long) Math.max(CALL_PAUSE_LEAST, pause);
  }

  /** While discovery is down twice the longest is short enough: pauses begin anew with its return. */
  private long pushedPause() {
    long grown = CALL_PAUSE_FIRST << Math.min(Math.max(0, failures - 1), 10);
    long longest = settings.drainGrace() * (down ? 2 : 1) / CALLS_IN_TIME;
    return Math.min(grown, Math.min(CALL_PAUSE_MOST, longest));
  }

  private long timeToAsk(long now) {
    long most = Math.min(settings.askEvery(), LATEST);
    long left = goodUntil(now) - now;
    return left <= 0 ? most : Math.min(most, Math.max(settings.drainGrace(), left));
  }
}
