package lemondeal.lab.soak;

/** The rules of the protocol page that a soak checks from outside the proxies. */
public enum Rule {
  /** An accepted request got no final answer, or got it over half a second after its deadline. */
  LOST,
  /** A client received {@code UP} with a receipt that no server issued for its request. */
  FALSE_RECEIPT,
  /** A request was sent again although an earlier attempt may have been executed and its class forbids repeats. */
  REPEATED,
  /** A client received a refusal, which promises that a retry is safe, although its request may have been executed. */
  FALSE_REFUSAL,
  /** Two attempts of one request were open at the same time. */
  PARALLEL_ATTEMPTS,
  /** A server got a request after the drain grace period, although it was draining or removed from the list. */
  SENT_TO_DRAINING,
  /** An attempt was started for a client that had closed its connection. */
  SENT_FOR_GONE_CLIENT,
  /** An established connection was cut without {@code MOVE} while its server still answered. */
  CUT_OFF,
  /** A line was delayed in the proxy for more than a second. */
  LINE_HELD,
  /** A client connection was kept open for more than a second after its server had ended it. */
  DEAD_CONNECTION_KEPT,
  /** A client that violated the protocol got neither an error nor a closed connection within three seconds. */
  BAD_CLIENT_KEPT,
  /** A process ended without a stop signal, or with an exit code other than 0. */
  CRASH,
  /** A process was still running at the earliest time after SIGTERM at which SIGKILL may be sent. */
  SLOW_STOP,
  /** A started process did not become ready in time. */
  NOT_READY,
  /** A process logged an internal failure. */
  INTERNAL_FAILURE,
  /** A process reported a violation in its own counters. */
  SELF_REPORTED,
  /** A process held more descriptors than its configuration allows. */
  DESCRIPTORS,
  /** A new configuration was not loaded after SIGHUP. */
  RELOAD_IGNORED,
  /** Most requests still were not served some time after the last fault was over. */
  NO_RECOVERY
}
