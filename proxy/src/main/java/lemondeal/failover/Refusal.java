package lemondeal.failover;

import java.util.List;
import lemondeal.operator.Fault;

final class Refusal {
  private Refusal() {}

  static List<Fault> tell(PolicyModel model, List<FailureCase> broken) {
    FailureCase smallest = broken.get(0);
    return List.of(smallest.place().fault(smallest.told(model) + ", the rest cannot bear the load"));
  }
}
