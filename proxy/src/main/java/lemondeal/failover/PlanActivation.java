package lemondeal.failover;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which plan a proxy uses. Immutable and without a clock: each input yields the next state. A new plan is
 * activated once a majority of the configured members holds the same digest, so that two parts of a fleet never use two
 * different new plans. Until then the old plan stays active, also while members hold different new ones.
 *
 * @param members the names of all configured proxies of the fleet, reachable or not
 * @param active the plan in use; empty until a first one is activated
 * @param pending a newer plan that this proxy holds; empty where there is none
 */
public record PlanActivation(String fleet, Set<String> members, Optional<Plan> active, Optional<Plan> pending) {
  public PlanActivation {
    members = Set.copyOf(members);
  }

  /** The state of a proxy that holds no plan. */
  public static PlanActivation initial(String fleet, Set<String> members) {
    return new PlanActivation(fleet, members, Optional.empty(), Optional.empty());
  }

  /**
   * Takes a received plan as pending. Throws {@link PlanRejectedException} for a plan that is truncated, corrupt, of
   * another fleet, or older than the active or the pending one. A different plan of the same version is rejected as
   * well, since one of the two must be a mistake.
   */
  public PlanActivation receive(byte[] bytes) {
    Plan plan = PlanCodec.decode(bytes);
    if (!plan.fleet().equals(fleet)) {
      throw new PlanRejectedException(PlanRejectedException.Reason.FLEET,
          "it is for the fleet " + plan.fleet() + ", this is " + fleet);
    }
    Optional<Plan> newest = pending.or(() -> active);
    if (newest.isPresent() && newest.get().equals(plan)) {
      return this;
    }
    if (newest.isPresent() && newest.get().version() >= plan.version()) {
      throw new PlanRejectedException(PlanRejectedException.Reason.OLDER,
          "its version is " + plan.version() + "; held: " + newest.get().version());
    }
    return new PlanActivation(fleet, members, active, Optional.of(plan));
  }

  /**
   * Activates the pending plan once a majority of the members holds it.
   *
   * @param digests the digest of the newest plan that each member holds, including this one; names that are not members
   *     are ignored
   */
  public PlanActivation withReportedDigests(Map<String, String> digests) {
    if (pending.isEmpty()) {
      return this;
    }
    String pendingDigest = PlanCodec.digest(pending.get());
    long holders = members.stream().filter(member -> pendingDigest.equals(digests.get(member))).count();
    return 2 * holders > members.size() ? new PlanActivation(fleet, members, pending, Optional.empty()) : this;
  }

  /** The digest to report to the other members: of the newest plan held, empty where there is none. */
  public Optional<String> newestDigest() {
    return pending.or(() -> active).map(PlanCodec::digest);
  }
}
