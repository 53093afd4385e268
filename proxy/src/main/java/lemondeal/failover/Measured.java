package lemondeal.failover;

import java.util.Map;

/**
 * What was measured, by zone, in the policy's unit; read only where the policy says {@code measured}, and there only
 * above the floor.
 */
public record Measured(Map<String, Double> demand, Map<String, Double> capacity) {
  /** Nothing was measured: the floors hold. */
  public static final Measured NONE = new Measured(Map.of(), Map.of());

  public Measured {
    demand = Map.copyOf(demand);
    capacity = Map.copyOf(capacity);
  }
}
