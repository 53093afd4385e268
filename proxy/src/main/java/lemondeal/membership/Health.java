package lemondeal.membership;

/** The health that a catalog reports for one instance; of several checks the worst counts. */
public enum Health {
  PASSING,
  /** Serves, with the catalog's weight for warnings. */
  WARNING,
  /** Failing or leaving, itself or its node: drained. */
  CRITICAL,
  /** Taken out of service by an operator: drained. */
  MAINTENANCE;

  /** Whether the instance may get new work. */
  public boolean serves() {
    return this == PASSING || this == WARNING;
  }
}
