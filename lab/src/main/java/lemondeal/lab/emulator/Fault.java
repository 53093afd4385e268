package lemondeal.lab.emulator;

/**
 * A fault of an experiment's file: its time, kind, targets and duration.
 *
 * @param startTime microseconds since the start of the run
 * @param kind the kind of fault
 * @param count number of targets; 0 for all of them, or if the kind has no targets
 * @param target name of a server pool, {@code servers}, {@code proxies} or {@code clients}; empty if the kind has none
 * @param factor slowdown; the zone's index for a cut; the share of the clients for a reconnect; 1 if the kind has none
 * @param duration microseconds until the fault ends; 0 for never
 */
public record Fault(long startTime, Kind kind, int count, String target, double factor, long duration) {

  /** The kinds of faults. */
  public enum Kind {
    /** Servers work slower by the factor. */
    SLOW,
    /** Servers accept work and do not answer. */
    HANG,
    /** Servers or proxies crash; those that restart after the duration are cold and have lost their state. */
    KILL,
    /** Servers drain: discovery publishes it, and after the drain time they are removed for good. */
    DRAIN,
    /** Servers are replaced one after the other over the duration: each drains while a new, cold one starts. */
    REPLACE,
    /** A zone is partitioned from the others: all messages between them are lost without an error. */
    CUT,
    /** Discovery does not answer. */
    DISCOVERY,
    /** The session store is slower by the factor. */
    STORE,
    /** A share of the clients closes its connections and reconnects at once. */
    RECONNECT
  }
}
