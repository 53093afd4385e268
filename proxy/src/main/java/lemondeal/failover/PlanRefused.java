package lemondeal.failover;

/** Bytes that are not taken as a plan, and why. */
public final class PlanRefused extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Why a plan is not taken. */
  public enum Why { GARBLED, DIGEST, FORMAT, FLEET, OLDER }

  private final Why why;

  PlanRefused(Why why, String message) {
    super(message);
    this.why = why;
  }

  public Why why() {
    return why;
  }
}
