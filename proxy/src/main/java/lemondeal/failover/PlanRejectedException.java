package lemondeal.failover;

/** Bytes that are not taken as a plan, and why. */
public final class PlanRejectedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Why a plan is not taken. */
  public enum Reason { GARBLED, DIGEST, FORMAT, FLEET, OLDER }

  private final Reason reason;

  PlanRejectedException(Reason reason, String message) {
    super(message);
    this.reason = reason;
  }

  public Reason reason() {
    return reason;
  }
}
