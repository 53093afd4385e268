package lemondeal.failover;

import java.util.List;

/**
 * The third stage: every case that the plan must answer.
 *
 * @param all the normal case, then by the number of failed zones, then by these
 */
public record FailureCases(List<FailureCase> all) {
  FailureCase normalCase() {
    return all.get(0);
  }
}
