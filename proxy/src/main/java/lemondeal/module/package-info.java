/**
 * All decisions of one node: weighted rendezvous hashing with fallback along the ranking, and the exceptions
 * from it that docs/DESIGN.md lists. Each class holds its own parameters (times in microseconds) and depends
 * only on those before it in this list: {@code Rendezvous}, {@code Server} with {@code RequestState} (these
 * two depend on each other), {@code NodeState}, {@code ConnectionMover}, {@code LoadEstimator},
 * {@code GroupShedding}, {@code ServerShedding}, {@code Health}, {@code SlowStart}, {@code ZoneAdmission},
 * {@code SetupLimiter}, {@code Ranking}, {@code RequestLifecycle}, {@code Membership},
 * {@code DecisionModule}. ({@code ServerTotals} caches sums for {@code LoadEstimator}, {@code SlowStart} and
 * {@code Ranking}.) Stateless parts are records. Decisions that the proxies take together are made in other
 * packages and arrive here as events.
 */
package lemondeal.module;
