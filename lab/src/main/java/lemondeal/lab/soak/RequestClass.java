package lemondeal.lab.soak;

/**
 * The request classes of a soak: one for each kind of idempotency and deduplication scope that the wire page defines.
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

  /** Whether a request that may have been executed may still be refused, which promises the client a safe retry. */
  boolean mayBeRefusedAfterRunning() {
    return this == READ || this == KEYED_ALL;
  }

  /** Whether the second server may get a request that the first one may have executed. */
  boolean mayRepeatAt(ServerIdentity first, ServerIdentity second) {
    return switch (this) {
      case READ, KEYED_ALL -> true;
      case KEYED_ZONE -> first.zone().equals(second.zone());
      case KEYED_CELL -> first.cell() == second.cell();
      case WRITE -> false;
    };
  }

  /** Whether repeats of this class are allowed only within the deduplication window. */
  boolean hasRepeatWindow() {
    return semantics.equals("deduplicated");
  }
}
