package lemondeal.failover;

/** Received bytes were rejected as a plan. */
public final class PlanRejectedException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /** Why a plan is rejected. */
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
