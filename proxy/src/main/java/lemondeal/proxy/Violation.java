package lemondeal.proxy;

/** The rules of the protocol that a step of this process could break, with the names under which they are counted. */
enum Violation {
  /** A second attempt while the one before is out. */
  PARALLEL_ATTEMPT("parallel-attempt"),
  /** An attempt for a request that has had its final answer. */
  SENT_AFTER_ANSWER("sent-after-answer"),
  /** A repeat of what may have run and must not run twice. */
  REPEATED("repeated"),
  /** A repeat after the window in which servers drop repeats. */
  REPEATED_LATE("repeated-late"),
  /** An attempt at a server that drains, after the grace. */
  SENT_TO_DRAINING("sent-to-draining"),
  /** A promise that trying again is harmless where it may not be. */
  REFUSED_AFTER_RUNNING("refused-after-running"),
  /** The end of a request that was taken, without its final answer. */
  ENDED_WITHOUT_ANSWER("ended-without-answer");

  /** The figure's name behind {@code violations.}. */
  final String label;

  Violation(String label) {
    this.label = label;
  }
}
