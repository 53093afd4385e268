package lemondeal.fleet;

import java.net.InetSocketAddress;

/**
 * The operator's section {@code fleet}.
 *
 * @param name this proxy's name in the fleet; null if it is the name in the platform's configuration
 * @param listen the address on which this proxy receives messages; null if it is its address in the fleet's list
 * @param ttlMillis a row older than this counts as absent
 * @param sendIntervalMillis longest time between two sends of a row
 */
public record FleetSettings(String name, FleetRoster roster, InetSocketAddress listen, long ttlMillis,
    long sendIntervalMillis) {
  public static final long DEFAULT_TTL_MILLIS = 2_000;
  public static final long DEFAULT_SEND_INTERVAL_MILLIS = 200;
  /** Several messages may be lost or late before a proxy counts as absent. */
  public static final int MIN_SENDS_PER_TTL = 5;
  /** Sending the largest row takes half a second at a peer's byte rate; see {@link SendPacer}. */
  public static final long MIN_TTL_MILLIS = 1_500;
}
