package lemondeal.failover;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Which plan a proxy places by. A value without a clock: each word that comes in gives the next one. A plan waits until
 * a majority of the members that the operator named holds the same digest, so that no two parts of a fleet ever place
 * by plans that have not met; until then the old one holds, also where members hold different new ones.
 *
 * @param members the names of all proxies of the fleet, not of those in sight
 * @param inForce the plan placed by; empty at a first start
 * @param waiting a newer plan that this proxy holds; empty where there is none
 */
public record PlanActivation(String fleet, Set<String> members, Optional<Plan> active, Optional<Plan> pending) {
  public PlanActivation {
    members = Set.copyOf(members);
  }

  /** A proxy's first guard. */
  public static PlanActivation initial(String fleet, Set<String> members) {
    return new PlanActivation(fleet, members, Optional.empty(), Optional.empty());
  }

  /**
   * A plan's bytes have come; throws {@link PlanRefused} where they are cut, garbled, of another fleet, or older than
   * the plan in force or the one that waits. Another plan of the same version is refused as well: one of the two is a
   * mistake.
   */
  public PlanActivation receive(byte[] bytes) {
    Plan plan = PlanCodec.decode(bytes);
    if (!plan.fleet().equals(fleet)) {
      throw new PlanRejectedException(PlanRejectedException.Reason.FLEET, "it is for the fleet " + plan.fleet() + ", this is " + fleet);
    }
    Optional<Plan> newest = pending.or(() -> active);
    if (newest.isPresent() && newest.get().equals(plan)) {
      return this;
    }
    if (newest.isPresent() && newest.get().version() >= plan.version()) {
      throw new PlanRejectedException(PlanRejectedException.Reason.OLDER, "its version is " + plan.version() + "; held: "
          + newest.get().version());
    }
    return new PlanActivation(fleet, members, active, Optional.of(plan));
  }

  /**
   * What the others hold has come.
   *
   * @param digests the digest of the newest plan that each member holds, this one included; of names that are no
   *     members nothing is counted
   */
  public PlanActivation withReportedDigests(Map<String, String> digests) {
    if (pending.isEmpty()) {
      return this;
    }
    String pendingDigest = PlanCodec.digest(pending.get());
    long holders = members.stream().filter(member -> pendingDigest.equals(digests.get(member))).count();
    return 2 * holders > members.size() ? new PlanActivation(fleet, members, pending, Optional.empty()) : this;
  }

  /** The digest to tell the others: of the newest plan held, empty where there is none. */
  public Optional<String> newestDigest() {
    return pending.or(() -> active).map(PlanCodec::digest);
  }
}
