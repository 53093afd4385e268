package lemondeal.fleet;

import java.net.InetSocketAddress;

/**
 * The operator's section {@code fleet}.
 *
 * @param name which of the fleet this proxy is; null where it is the one that the platform's configuration names
 * @param listen where this proxy hears the others; null where it is the address that the fleet's list has for it
 * @param lifeMillis a row older than this counts as absent
 * @param tellMillis a row is told at least so often
 */
public record FleetSettings(String name, FleetRoster roster, InetSocketAddress listen, long ttlMillis,
    long sendIntervalMillis) {
  public static final long DEFAULT_TTL_MILLIS = 2_000;
  public static final long DEFAULT_SEND_INTERVAL_MILLIS = 200;
  /** A few letters may be lost or late before a proxy counts as absent. */
  public static final int MIN_SENDS_PER_TTL = 5;
  /** The largest row takes half a second of a peer's bytes: {@link Pace}. */
  public static final long MIN_TTL_MILLIS = 1_500;
}
