package lemondeal.lab.soak;

/**
 * One fault of a plan.
 *
 * @param startMillis when it starts, relative to the start of the fault plan
 * @param durationMillis how long it lasts, for kinds that have a duration
 * @param target the number of the proxy or server that it affects
 * @param drawnValue a random number from which the fault derives a count, a choice or a size
 */
record Fault(Kind kind, long startMillis, long durationMillis, int target, int drawnValue) {
  enum Kind {
    // Proxies.
    STOP, KILL, RELOAD_SETTINGS, RELOAD_DISCOVERY, PAUSE, TWO_RELOADS_AND_A_STOP,
    // The operating system below a proxy.
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
