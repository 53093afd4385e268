/**
 * All decisions of one node: weighted rendezvous hashing with ranking fallback, and the departures from it
 * that docs/DESIGN.md lists. Each class has its tunables (times in microseconds) and knows only those before
 * it here: {@code Rendezvous}, {@code Server} with {@code Flow} (these two know each other), {@code Node},
 * {@code Moves}, {@code Load}, {@code Health}, {@code Groups}, {@code Shedding}, {@code ColdAdmission},
 * {@code Setups}, {@code Ranking}, {@code Requests}, {@code Membership}, {@code Logic}. Parts without state
 * of their own are records. There is none for peers: telling them was measured and did not pay.
 */
package lemondeal.module;
