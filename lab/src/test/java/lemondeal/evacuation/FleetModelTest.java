package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import lemondeal.lab.evacuation.Checker;
import lemondeal.lab.evacuation.EpochsGrow;
import lemondeal.lab.evacuation.KeysReturn;
import lemondeal.lab.evacuation.LeavesInTime;
import lemondeal.lab.evacuation.LittleMovesNobody;
import lemondeal.lab.evacuation.MajorityBehindDecisions;
import lemondeal.lab.evacuation.Model;
import lemondeal.lab.evacuation.NoSendToLeftZone;
import lemondeal.lab.evacuation.Script;
import lemondeal.lab.evacuation.SharesWithinBudget;
import org.junit.jupiter.api.Test;

/** Seeded faults against every rule, and fleets that lack one. In this package: mistakes have no public door. */
class FleetModelTest {
  private static final SlowStartRamp OPENING = new SlowStartRamp(5, 20, 4_000);
  /** Dwells shorter than by default, so that a run sees several decisions; what ends a share is as by default. */
  private static final EvacuationSettings SETTINGS = new EvacuationSettings(EvidenceSettings.DEFAULT, 200, 1_500, 2_000,
      2_500, 4_000, 2, 8_000, 1_000, 0.01);
  private static final Model.Shape SHAPE = new Model.Shape(vantages(Integer.getInteger("evacuation.members", 5)), 3, 4,
      SETTINGS, OPENING, 400_000);

  /** Evenly over three zones. */
  private static int[] vantages(int members) {
    return IntStream.range(0, members).map(member -> member * 3 / members).toArray();
  }

  private static Script script(long seed) {
    return Script.of(seed, SHAPE.members(), SHAPE.zones(), SHAPE.serversPerZone());
  }

  private static List<Checker> checkers(long seed) {
    long vote = SETTINGS.withClockDrift(SETTINGS.voteTtl());
    long share = SETTINGS.withClockDrift(SETTINGS.leaseTtl());
    return List.of(new EpochsGrow(), new MajorityBehindDecisions(SHAPE.members(), vote), new NoSendToLeftZone(),
        new SharesWithinBudget(OPENING, SHAPE.members(), share),
        new LeavesInTime(SHAPE.members()), new KeysReturn(Script.FROM, 3_000),
        new LittleMovesNobody(script(seed)));
  }

  private static Model model(long seed, List<Checker> checkers, Supplier<QuorumRules> agreement) {
    return model(seed, SHAPE, checkers, agreement);
  }

  private static Model model(long seed, Model.Shape shape, List<Checker> checkers, Supplier<QuorumRules> agreement) {
    return new Model(seed, shape, script(seed), (named, settings, opening, incarnation, kept, now) ->
            new Evacuation(named, settings, opening, incarnation, kept, now, agreement.get()), checkers);
  }

  private static final int SEEDS = Integer.getInteger("evacuation.seeds", 200);

  @Test
  void noRuleIsBrokenWhateverHappens() {
    long slowest = 0;
    double closest = 0;
    double bytes = 0;
    long began = System.nanoTime();
    for (long seed = 1; seed <= SEEDS; seed++) {
      List<Checker> checkers = checkers(seed);
      Model model = model(seed, checkers, QuorumRules::new);
      assertEquals(List.of(), model.run(), "seed " + seed + "\n" + model.trace() + "\nseed " + seed);
      closest = Math.max(closest, ((SharesWithinBudget) checkers.get(3)).closest());
      slowest = Math.max(slowest, ((LeavesInTime) checkers.get(4)).slowest());
      bytes = Math.max(bytes, model.bytesPerRow());
    }
    System.out.printf("%d seeds in %.1f s: majority within %d ms, %.3f of a budget in use, %.0f bytes a row%n", SEEDS,
        (System.nanoTime() - began) / 1e9, slowest, closest, bytes);
    assertTrue(slowest > 0 && closest > 0.5, "something was decided and opened");
  }

  /** Rules that some seed sees broken without this part. */
  private static Set<String> brokenBy(Supplier<QuorumRules> mistake) {
    return broken(SHAPE, 2, mistake);
  }

  private static Set<String> broken(Model.Shape shape, long from, Supplier<QuorumRules> mistake) {
    Set<String> rules = new TreeSet<>();
    for (long seed = from; seed <= from + 60; seed += 2) {
      model(seed, shape, checkers(seed), mistake).run().forEach(breach -> rules.add(breach.replaceFirst(":.*", "")));
    }
    return rules;
  }

  @Test
  void withoutTheMajorityRuleACheckerTrips() {
    Set<String> rules = brokenBy(() -> new QuorumRules() {
      @Override
      boolean isMajority(int voters, int members) {
        return voters >= 1;
      }
    });
    assertTrue(rules.contains("MajorityBehindDecisions"), rules::toString);
  }

  @Test
  void withoutTheExpiryOfSharesACheckerTrips() {
    Set<String> rules = brokenBy(() -> new QuorumRules() {
      @Override
      boolean leaseHolds(int backers, int members) {
        return true;
      }
    });
    assertTrue(rules.contains("SharesWithinBudget"), rules::toString);
  }

  @Test
  void withoutTheCheckOfEpochsACheckerTrips() {
    Set<String> rules = brokenBy(() -> new QuorumRules() {
      @Override
      boolean isNewerEpoch(long told, long known) {
        return told != known;
      }
    });
    assertTrue(rules.contains("EpochsGrow"), rules::toString);
  }

  @Test
  void withLoansThatAreNotHeldBackACheckerTrips() {
    Set<String> rules = broken(SHAPE, 1, () -> new QuorumRules() {
      @Override
      double reservedForLoans(double lent) {
        return 0;
      }
    });
    assertTrue(rules.contains("SharesWithinBudget"), rules::toString);
  }

  private static Set<String> brokenWith(EvidenceSettings evidence) {
    EvacuationSettings settings = new EvacuationSettings(evidence, 200, 1_500, 2_000, 2_500, 4_000, 2, 8_000, 1_000,
        0.01);
    return broken(new Model.Shape(SHAPE.vantages(), 3, 4, settings, OPENING, 400_000), 1, QuorumRules::new);
  }

  @Test
  void withEvidenceTooSoonOrTooLateACheckerTrips() {
    Set<String> hasty = brokenWith(new EvidenceSettings(150, 3_000, 1, 3_500));
    assertTrue(hasty.contains("LittleMovesNobody"), hasty::toString);
    Set<String> slow = brokenWith(new EvidenceSettings(2_000, 4_000, 4, 3_500));
    assertTrue(slow.contains("LeavesInTime"), slow::toString);
  }
}
