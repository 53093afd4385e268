/**
 * The evacuation of zones by a simulated fleet, and the rules that it must keep whatever happens. Deterministic: a
 * seed makes the faults, the delays and the clocks. Checkers hear what happens and know nothing of how the fleet
 * decides.
 */
package lemondeal.lab.evacuation;
