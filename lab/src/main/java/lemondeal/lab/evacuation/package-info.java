/**
 * A deterministic simulation of a fleet that evacuates zones, and the invariants that must hold under all faults. A
 * seed determines the faults, the delays and the clocks. The checkers observe events and are independent of the
 * decision logic.
 */
package lemondeal.lab.evacuation;
