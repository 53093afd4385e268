package lemondeal.fleet;

/** Why what came from the fleet's port was dropped. Whoever sent it is told nothing. */
public enum DropReason {
  /** Longer than a letter may be. */
  TOO_LARGE,
  /** No letter, or one that can't be true. */
  GARBLED,
  /** Of a version that this program does not know. */
  NEWER_VERSION,
  /** From a sender, or of an owner, that the operator's file does not name. */
  UNNAMED,
  /** Another one's row. */
  FOREIGN,
  /** Nothing in it proves when it was made: its sender has not heard this process's present rows. */
  UNPROVEN
}
