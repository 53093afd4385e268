package lemondeal.lab.soak;

/**
 * How a stand-in server treats new connections and requests. Established connections are still served in all modes but
 * {@link #FROZEN}.
 */
enum ServerMode {
  NORMAL(true),
  /** Each setup takes some hundred milliseconds. */
  SLOW(true),
  /** Reads the request line and sends nothing. */
  HANGS(false),
  /** Sends nothing on new connections, and nothing more on established ones. */
  FROZEN(false),
  ERRORS(false),
  /** Refuses requests with BUSY, without executing them. */
  FULL(true),
  /** Resets the connection after the request line. */
  RESETS(false),
  /** Closes the connection after the request line. */
  ENDS(false),
  /** Sends half of its answer and nothing more. */
  HALF_ANSWER(false),
  /** Sends answers that the protocol does not define, endless answers, or two answers. */
  SPOILT(false),
  /** Closes a probe connection as soon as it has answered one probe. */
  CLOSES_IDLE(true);

  /** Whether most requests are served, or refused without harm. */
  final boolean servesRequests;

  ServerMode(boolean servesRequests) {
    this.servesRequests = servesRequests;
  }
}
