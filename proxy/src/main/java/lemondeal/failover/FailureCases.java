package lemondeal.failover;

import java.util.List;

/**
 * The third stage of the compiler: all cases that the plan covers.
 *
 * @param all the normal case, then sorted by the number of failed zones and by their indexes
 */
public record FailureCases(List<FailureCase> all) {
  FailureCase normalCase() {
    return all.get(0);
  }
}
