package lemondeal.failover;

import java.util.Map;

/**
 * What was measured, by zone, in the policy's unit; read only where the policy says {@code measured}, and there only
 * above the floor.
 */
public record Measurements(Map<String, Double> demand, Map<String, Double> capacity) {
  /** Nothing was measured: the floors hold. */
  public static final Measurements NONE = new Measurements(Map.of(), Map.of());

  public Measurements {
    demand = Map.copyOf(demand);
    capacity = Map.copyOf(capacity);
  }
}
