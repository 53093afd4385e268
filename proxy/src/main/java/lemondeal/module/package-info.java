/**
 * All decisions of one node: weighted rendezvous hashing with ranking fallback, and the departures from it
 * that docs/DESIGN.md lists. Each class has its tunables (times in microseconds) and knows only those before
 * it here: {@code Rendezvous}, {@code Server} with {@code Flow} (these two know each other), {@code Node},
 * {@code Moves}, {@code Load}, {@code Groups}, {@code Shedding}, {@code Health}, {@code ColdAdmission},
 * {@code ZoneAdmission}, {@code Setups}, {@code Ranking}, {@code Requests}, {@code Membership},
 * {@code Logic}. Parts without state of their own are records. What a fleet shares
 * is decided in packages of its own and told here as events.
 */
package lemondeal.module;
