package lemondeal.proxy;

/** The protocol rules that a step of this process could break, with the labels of their counters. */
enum Violation {
  /** A second attempt while the previous one is in progress. */
  PARALLEL_ATTEMPT("parallel-attempt"),
  /** An attempt for a request that already has its final answer. */
  SENT_AFTER_ANSWER("sent-after-answer"),
  /** A repeat of a request that may have run and must not run twice. */
  REPEATED("repeated"),
  /** A repeat after the window in which servers deduplicate repeats. */
  REPEATED_LATE("repeated-late"),
  /** An attempt at a draining server after the grace period. */
  SENT_TO_DRAINING("sent-to-draining"),
  /** A refusal, which promises that a retry is harmless, of a request whose retry may do harm. */
  REFUSED_AFTER_RUNNING("refused-after-running"),
  /** The end of an accepted request without its final answer. */
  ENDED_WITHOUT_ANSWER("ended-without-answer");

  /** The counter's name after {@code violations.}. */
  final String label;

  Violation(String label) {
    this.label = label;
  }
}
