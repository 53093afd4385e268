package lemondeal.membership;

/** What a catalogue says of one instance, its checks taken together: the worst of them counts. */
public enum Health {
  PASSING,
  /** Serves, with the weight that the catalogue gives for warnings. */
  WARNING,
  /** Failing, leaving, or its node is: treated as a drain. */
  CRITICAL,
  /** Taken out of service by an operator: treated as a drain. */
  MAINTENANCE;

  /** Whether new work may go there. */
  public boolean serves() {
    return this == PASSING || this == WARNING;
  }
}
