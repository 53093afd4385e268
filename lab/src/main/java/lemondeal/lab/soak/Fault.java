package lemondeal.lab.soak;

/**
 * One fault of a plan.
 *
 * @param atMillis when it begins, from the start of the soak's traffic
 * @param forMillis how long it lasts, for those that last
 * @param target the proxy or server that it hits, by number
 * @param amount what else was drawn for it: a count, a choice or a size
 */
record Fault(Kind kind, long startMillis, long durationMillis, int target, int drawnValue) {
  /** What can go wrong. */
  enum Kind {
    // Proxies.
    STOP, KILL, RELOAD_SETTINGS, RELOAD_DISCOVERY, PAUSE, TWO_RELOADS_AND_A_STOP,
    // Their system.
    CLOCK_STEP, ACCEPT_FAILS, SOCKET_FAILS, CONNECT_FAILS, WAIT_INTERRUPTED, SHORT_IO,
    // Discovery.
    DISCOVERY_DOWN, DISCOVERY_SILENT, DISCOVERY_SLOW, DISCOVERY_UNAVAILABLE, DISCOVERY_DRIBBLES, WATCHES_FALL_SILENT,
    ALL_DISCOVERY_DOWN,
    // Servers.
    SERVER_HANGS, SERVER_FREEZES, SERVER_ERRORS, SERVER_FULL, SERVER_RESETS, SERVER_ENDS, SERVER_HALF_ANSWER,
    SERVER_NETWORK_DELAYS, SERVER_NETWORK_LOSES, SERVER_NETWORK_STALLS, SERVER_NETWORK_CUT, SERVER_NETWORK_SLOW,
    SERVER_SPOILT, SERVER_SLOW, SERVER_CLOSES_IDLE, SERVER_CRASHES, SERVER_DRAINS, SERVER_REPLACED,
    // Clients.
    BAD_CLIENTS, LEAVERS, IDLE_CROWD, BURST
  }

  @Override
  public String toString() {
    return "%d ms: %s of %d for %d ms (%d)".formatted(startMillis, kind, target, durationMillis, drawnValue);
  }
}
