package lemondeal.lab.soak;

/** How a stand-in server behaves towards what comes; connections that stand are served on but in {@link #FROZEN}. */
enum ServerMode {
  NORMAL(true),
  /** Each set-up takes some hundred milliseconds. */
  SLOW(true),
  /** Reads the first line and says nothing. */
  HANGS(false),
  /** Says nothing on connections that stand either, from then on. */
  FROZEN(false),
  ERRORS(false),
  /** Turns requests away unseen. */
  FULL(true),
  /** Resets the connection behind the first line. */
  RESETS(false),
  /** Ends the connection behind the first line. */
  ENDS(false),
  /** Writes half of its answer and says nothing more. */
  HALF_ANSWER(false),
  /** Answers with what the protocol does not have, or without end, or twice. */
  SPOILT(false),
  /** Closes probe connections as soon as it has answered one. */
  CLOSES_IDLE(true);

  /** Whether most requests are served, or refused harmlessly. */
  final boolean servesRequests;

  ServerMode(boolean servesRequests) {
    this.servesRequests = servesRequests;
  }
}
