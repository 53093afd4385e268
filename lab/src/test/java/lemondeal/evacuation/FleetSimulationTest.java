package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import lemondeal.lab.evacuation.InvariantChecker;
import lemondeal.lab.evacuation.EpochsGrow;
import lemondeal.lab.evacuation.KeysReturn;
import lemondeal.lab.evacuation.LeavesInTime;
import lemondeal.lab.evacuation.LittleMovesNobody;
import lemondeal.lab.evacuation.MajorityBehindDecisions;
import lemondeal.lab.evacuation.FleetSimulation;
import lemondeal.lab.evacuation.NoSendToLeftZone;
import lemondeal.lab.evacuation.FaultSchedule;
import lemondeal.lab.evacuation.SharesWithinBudget;
import org.junit.jupiter.api.Test;

/**
 * Checks every invariant under seeded faults, and that the checkers detect faulty rules. In this package because
 * {@link QuorumRules} can be overridden only here.
 */
class FleetSimulationTest {
  private static final SlowStartRamp SLOW_START = new SlowStartRamp(5, 20, 4_000);
  /** Shorter dwell times than the defaults, for several decisions per run; lease settings are the defaults. */
  private static final EvacuationSettings SETTINGS = new EvacuationSettings(EvidenceSettings.DEFAULT, 200, 1_500, 2_000,
      2_500, 4_000, 2, 8_000, 1_000, 0.01);
  private static final FleetSimulation.Topology TOPOLOGY =
      new FleetSimulation.Topology(memberZones(Integer.getInteger("evacuation.members", 5)), 3, 4,
          SETTINGS, SLOW_START, 400_000);

  /** Distributes the members evenly over three zones. */
  private static int[] memberZones(int members) {
    return IntStream.range(0, members).map(member -> member * 3 / members).toArray();
  }

  private static FaultSchedule faultSchedule(long seed) {
    return FaultSchedule.generate(seed, TOPOLOGY.members(), TOPOLOGY.zones(), TOPOLOGY.serversPerZone());
  }

  private static List<InvariantChecker> checkers(long seed) {
    long voteTtl = SETTINGS.withClockDrift(SETTINGS.voteTtl());
    long leaseTtl = SETTINGS.withClockDrift(SETTINGS.leaseTtl());
    return List.of(new EpochsGrow(), new MajorityBehindDecisions(TOPOLOGY.members(), voteTtl), new NoSendToLeftZone(),
        new SharesWithinBudget(SLOW_START, TOPOLOGY.members(), leaseTtl),
        new LeavesInTime(TOPOLOGY.members()), new KeysReturn(FaultSchedule.FIRST_FAULT_MILLIS, 3_000),
        new LittleMovesNobody(faultSchedule(seed)));
  }

  private static FleetSimulation simulation(long seed, List<InvariantChecker> checkers,
      Supplier<QuorumRules> quorumRules) {
    return simulation(seed, TOPOLOGY, checkers, quorumRules);
  }

  private static FleetSimulation simulation(long seed, FleetSimulation.Topology topology,
      List<InvariantChecker> checkers, Supplier<QuorumRules> quorumRules) {
    return new FleetSimulation(seed, topology, faultSchedule(seed),
        (membership, settings, slowStart, incarnation, savedState, localTime) ->
            new Evacuation(membership, settings, slowStart, incarnation, savedState, localTime, quorumRules.get()),
                checkers);
  }

  private static final int SEEDS = Integer.getInteger("evacuation.seeds", 200);

  @Test
  void noInvariantBreaksUnderRandomFaults() {
    long slowestMajorityMillis = 0;
    double peakBudgetUse = 0;
    double maxBytesPerReport = 0;
    long startNanos = System.nanoTime();
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<InvariantChecker> checkers = checkers(seed);
      FleetSimulation simulation = simulation(seed, checkers, QuorumRules::new);
      assertEquals(List.of(), simulation.run(), "seed " + seed + "\n" + simulation.trace() + "\nseed " + seed);
      peakBudgetUse = Math.max(peakBudgetUse, ((SharesWithinBudget) checkers.get(3)).peakBudgetUse());
      slowestMajorityMillis = Math.max(slowestMajorityMillis, ((LeavesInTime) checkers.get(4)).slowestMajorityMillis());
      maxBytesPerReport = Math.max(maxBytesPerReport, simulation.bytesPerReport());
    }
    System.out.printf("%d seeds in %.1f s: majority within %d ms, %.3f of a budget in use, %.0f bytes per report%n",
        SEEDS, (System.nanoTime() - startNanos) / 1e9, slowestMajorityMillis, peakBudgetUse, maxBytesPerReport);
    assertTrue(slowestMajorityMillis > 0 && peakBudgetUse > 0.5, "no zone was evacuated, or no budget was used");
  }

  /** Returns the invariants that any seed finds broken with the faulty rules. */
  private static Set<String> brokenWithout(Supplier<QuorumRules> faultyRules) {
    return brokenInvariants(TOPOLOGY, 2, faultyRules);
  }

  private static Set<String> brokenInvariants(FleetSimulation.Topology topology, long firstSeed,
      Supplier<QuorumRules> faultyRules) {
    Set<String> broken = new TreeSet<>();
    for (long seed = firstSeed; seed <= firstSeed + 60; seed += 2) {
      simulation(seed, topology, checkers(seed), faultyRules).run()
          .forEach(breach -> broken.add(breach.replaceFirst(":.*", "")));
    }
    return broken;
  }

  @Test
  void decisionsWithoutMajorityAreDetected() {
    Set<String> broken = brokenWithout(() -> new QuorumRules() {
      @Override
      boolean isMajority(int voters, int members) {
        return voters >= 1;
      }
    });
    assertTrue(broken.contains("MajorityBehindDecisions"), broken::toString);
  }

  @Test
  void leasesThatNeverExpireAreDetected() {
    Set<String> broken = brokenWithout(() -> new QuorumRules() {
      @Override
      boolean leaseHolds(int backers, int members) {
        return true;
      }
    });
    assertTrue(broken.contains("SharesWithinBudget"), broken::toString);
  }

  @Test
  void acceptingOlderEpochsIsDetected() {
    Set<String> broken = brokenWithout(() -> new QuorumRules() {
      @Override
      boolean isNewerEpoch(long reported, long known) {
        return reported != known;
      }
    });
    assertTrue(broken.contains("EpochsGrow"), broken::toString);
  }

  @Test
  void loansNotReservedAreDetected() {
    Set<String> broken = brokenInvariants(TOPOLOGY, 1, () -> new QuorumRules() {
      @Override
      double reservedForLoans(double lent) {
        return 0;
      }
    });
    assertTrue(broken.contains("SharesWithinBudget"), broken::toString);
  }

  private static Set<String> brokenWithEvidence(EvidenceSettings evidence) {
    EvacuationSettings settings = new EvacuationSettings(evidence, 200, 1_500, 2_000, 2_500, 4_000, 2, 8_000, 1_000,
        0.01);
    return brokenInvariants(new FleetSimulation.Topology(TOPOLOGY.memberZones(), 3, 4, settings, SLOW_START, 400_000),
        1, QuorumRules::new);
  }

  @Test
  void hastyAndSlowEvidenceSettingsAreDetected() {
    Set<String> hasty = brokenWithEvidence(new EvidenceSettings(150, 3_000, 1, 3_500));
    assertTrue(hasty.contains("LittleMovesNobody"), hasty::toString);
    Set<String> slow = brokenWithEvidence(new EvidenceSettings(2_000, 4_000, 4, 3_500));
    assertTrue(slow.contains("LeavesInTime"), slow::toString);
  }
}
