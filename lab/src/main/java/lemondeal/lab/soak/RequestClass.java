package lemondeal.lab.soak;

/**
 * The classes of requests in a soak, one of each effect that the wire page knows.
 *
 * @see SoakConfig
 */
enum RequestClass {
  READ("read", "idempotent", "all"),
  KEYED_ALL("keyed-all", "deduplicated", "all"),
  KEYED_ZONE("keyed-zone", "deduplicated", "zone"),
  KEYED_CELL("keyed-cell", "deduplicated", "cell"),
  WRITE("write", "at_most_once", "all");

  final String label;
  final String semantics;
  final String group;

  RequestClass(String label, String semantics, String group) {
    this.label = label;
    this.semantics = semantics;
    this.group = group;
  }

  /** Whether a client may be told that trying again is harmless once its request may have run. */
  boolean mayBeRefusedAfterRunning() {
    return this == READ || this == KEYED_ALL;
  }

  /** Whether a second server may run what a first one may have run. */
  boolean mayRepeatAt(ServerIdentity first, ServerIdentity second) {
    return switch (this) {
      case READ, KEYED_ALL -> true;
      case KEYED_ZONE -> first.zone().equals(second.zone());
      case KEYED_CELL -> first.cell() == second.cell();
      case WRITE -> false;
    };
  }

  /** Whether a repeat window binds repeats of this class. */
  boolean hasRepeatWindow() {
    return semantics.equals("deduplicated");
  }
}
