package lemondeal.failover;

import java.util.Map;

/**
 * Measured demand and capacity by zone name, in the policy's unit. A value is used only where the policy has
 * {@code measured: true}, and only if it is above the floor.
 */
public record Measurements(Map<String, Double> demand, Map<String, Double> capacity) {
  /** No measurements: the floors apply. */
  public static final Measurements NONE = new Measurements(Map.of(), Map.of());

  public Measurements {
    demand = Map.copyOf(demand);
    capacity = Map.copyOf(capacity);
  }
}
