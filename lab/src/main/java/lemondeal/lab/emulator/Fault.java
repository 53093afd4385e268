package lemondeal.lab.emulator;

/**
 * One thing that goes wrong, as an experiment's file says it: at a time, what, to how many of whom, for how long.
 *
 * @param at microseconds from the beginning
 * @param kind what happens
 * @param count how many it happens to; 0 for all of them, or where it has no meaning
 * @param whom a fleet's name, {@code servers}, {@code proxies} or {@code clients}; empty where it has no meaning
 * @param factor how many times slower, or more; the zone's number for a cut; 1 where it has no meaning
 * @param length microseconds after which it is over; 0 for never
 */
public record Fault(long startTime, Kind kind, int count, String target, double factor, long duration) {

  /** What can happen. */
  public enum Kind {
    /** Servers work so many times slower. */
    SLOW,
    /** Servers take work and answer nothing. */
    HANG,
    /** Servers or proxies die; those that come back after a while are cold and know nothing. */
    KILL,
    /** Servers drain: discovery tells it, and after a while they are gone for good. */
    DRAIN,
    /** Servers are replaced, one after the other over the time: each drains while a new one starts, cold. */
    REPLACE,
    /** A zone is cut off from the others: nothing passes, and nothing says so. */
    CUT,
    /** Discovery answers no call. */
    DISCOVERY,
    /** The store takes so many times longer. */
    STORE,
    /** A share of the clients drops its connection and comes again at once. */
    RECONNECT
  }
}
