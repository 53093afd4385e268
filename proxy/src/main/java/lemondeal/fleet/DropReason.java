package lemondeal.fleet;

/** Why data received on the fleet's port was dropped. The sender gets no reply. */
public enum DropReason {
  /** Longer than a message may be. */
  TOO_LARGE,
  /** Not a message, or one with impossible content. */
  GARBLED,
  /** Of a version that this program does not support. */
  NEWER_VERSION,
  /** The sender, or the owner of the row, is not in the operator's file. */
  UNNAMED,
  /** The row belongs to another proxy than the sender. */
  FOREIGN,
  /** Nothing bounds the message's age: its sender has not received a recent row of this process. */
  UNPROVEN
}
