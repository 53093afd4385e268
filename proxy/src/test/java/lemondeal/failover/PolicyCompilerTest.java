package lemondeal.failover;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.operator.InvalidFileException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The weights of compiled plans, and the errors of invalid or infeasible policies. */
class PolicyCompilerTest {
  @TempDir
  Path folder;

  private static PolicyFileBuilder threeZones() {
    PolicyFileBuilder policy =
        new PolicyFileBuilder().zone("hobart", "south", 40, 50, "").zone("launceston", "north", 30, 60, "")
        .zone("devonport", "north", 20, 60, "");
    return policy.set(policy.regions, "south", "{helped_by: [{north: 1}]}")
        .set(policy.regions, "north", "{helped_by: [{south: 1}]}").set(policy.survive, "any_zone", true);
  }

  private static Map<String, Integer> weights(Plan plan, String origin, String... failed) {
    return plan.weights(plan.findCase(List.of(failed)).orElseThrow(), origin);
  }

  private List<String> faults(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("bad.yaml"), text);
    return assertThrows(InvalidFileException.class, () -> PolicyCompiler.compile(file, Measurements.NONE)).getMessage()
        .lines()
        .map(line -> line.substring(line.indexOf("bad.yaml"))).toList();
  }

  private List<String> faults(PolicyFileBuilder policy) throws IOException {
    return faults(policy.text(new Random(1)));
  }

  @Test
  void exampleIsFeasible() {
    Plan plan = PolicyCompiler.compile(Path.of("../deploy/failover.example.yaml"), Measurements.NONE);
    assertEquals(10, plan.cases().size());
    assertEquals(Map.of("hobart", 10_000), weights(plan, "hobart"));
    assertEquals(Map.of("devonport", 6667, "hobart", 3333), weights(plan, "launceston", "launceston"));
    assertTrue(plan.findCase(List.of("hobart", "kingston", "devonport")).isEmpty());
  }

  @Test
  void onlyLostLoadMoves() throws IOException {
    Plan plan = threeZones().compile(folder);
    assertEquals(Map.of("devonport", 5000, "launceston", 5000), weights(plan, "hobart", "hobart"));
    assertEquals(Map.of("launceston", 10_000), weights(plan, "launceston", "hobart"));
    // Its own region is preferred as long as its capacity suffices.
    assertEquals(Map.of("devonport", 10_000), weights(plan, "launceston", "launceston"));
  }

  @Test
  void otherLoadMovesOnlyWhereNothingElseFits() throws IOException {
    // The load of zone a can only move to b, which then has room for 2 of its own load; c takes the other 4.
    PolicyFileBuilder policy = new PolicyFileBuilder().zone("a", "r", 6, 6, ", served_by: [{a: 1}, {b: 1}]")
        .zone("b", "r", 6, 8, ", served_by: [{b: 1}, {c: 1}]").zone("c", "r", 0, 6, ", served_by: [{c: 1}]");
    Plan plan = policy.set(policy.survive, "together", "[[a]]").compile(folder);
    assertEquals(Map.of("b", 10_000), weights(plan, "a", "a"));
    assertEquals(Map.of("b", 3333, "c", 6667), weights(plan, "b", "a"));
  }

  @Test
  void outputIsIndependentOfTheFilesOrder() throws IOException {
    byte[] bytes = PlanCodec.encode(threeZones().compile(folder));
    for (int seed = 2; seed < 12; seed++) {
      Path file = Files.writeString(folder.resolve("shuffled.yaml"), threeZones().text(new Random(seed)));
      assertArrayEquals(bytes, PlanCodec.encode(PolicyCompiler.compile(file, Measurements.NONE)));
    }
  }

  /** With many ties: equal zones and weights, bounds that are met exactly, and other load that must move. */
  @Test
  void outputIsDeterministicWithTies() throws IOException {
    int feasible = 0;
    for (int seed = 0; seed < 60; seed++) {
      Random random = new Random(seed);
      PolicyFileBuilder policy = new PolicyFileBuilder();
      int zones = 3 + random.nextInt(6);
      for (int i = 0; i < zones; i++) {
        policy.zone("z" + i, "r" + random.nextInt(3), 1 + random.nextInt(3), 2 + random.nextInt(4), "");
      }
      policy.regions.keySet().forEach(name -> policy.set(policy.regions, name, "{helped_by: ["
          + policy.regions.keySet().stream().filter(other -> !other.equals(name))
              .map(other -> "{" + other + ": " + (1 + random.nextInt(2)) + "}").toList().toString()
              .substring(1) + "}"));
      policy.set(policy.survive, "any_zone", true);
      String[] results = new String[4];
      for (int order = 0; order < results.length; order++) {
        Path file = Files.writeString(folder.resolve("tied.yaml"), policy.text(new Random(order)));
        try {
          results[order] = PlanCodec.digest(PolicyCompiler.compile(file, Measurements.NONE));
        } catch (InvalidFileException e) {
          results[order] = e.getMessage().replaceAll("(?m)^.*?yaml:[0-9]+:[0-9]+|line [0-9]+", "");
        }
        assertEquals(results[0], results[order], "seed " + seed);
      }
      feasible += results[0].length() == 64 ? 1 : 0;
    }
    assertTrue(feasible > 10 && feasible < 60, feasible + " of 60 feasible");
  }

  /** Without hobart, the remaining two zones serve 84 of 97. */
  private static PolicyFileBuilder tightPolicy() {
    PolicyFileBuilder policy =
        new PolicyFileBuilder().zone("hobart", "south", 40, 60, "").zone("launceston", "north", 30, 40, "")
        .zone("devonport", "north", 27, 44, "");
    return policy.set(policy.regions, "south", "{helped_by: [{north: 1}]}")
        .set(policy.regions, "north", "{helped_by: [{south: 1}]}").set(policy.survive, "together", "[[hobart]]");
  }

  @Test
  void infeasiblePolicyReportsSumsAndLeastChange() throws IOException {
    List<String> faults = faults(tightPolicy());
    assertTrue(faults.get(0).contains(": if hobart fails, devonport and launceston serve 84 of 97 (the demand of "
        + "devonport, hobart and launceston); binding: capacity of devonport (44 usable of 44, line "), faults.get(0));
    // Either zone could grow; devonport is first by name.
    assertTrue(faults.get(1).endsWith(": the least change: zones.devonport.capacity 57 instead of 44"), faults.get(1));
    assertEquals(2, faults.size(), faults::toString);
    tightPolicy().zone("devonport", "north", 27, 57, "").compile(folder);
    faults(tightPolicy().zone("devonport", "north", 27, 56.99, ""));
  }

  @Test
  void lessHeadroomOrMoreCrossingIsSuggestedWhereSufficient() throws IOException {
    PolicyFileBuilder policy = tightPolicy();
    policy.zone("devonport", "north", 27, 60, "").set(policy.top, "headroom", 0.1);
    List<String> faults = faults(policy);
    assertTrue(faults.get(0).contains("serve 90 of 97"), faults.get(0));
    assertTrue(faults.get(2).endsWith(": or: headroom 0.03 instead of 0.1"), faults.get(2));
    policy.set(policy.top, "headroom", 0.03).compile(folder);
    faults(policy.set(policy.top, "headroom", 0.0302));

    policy.set(policy.top, "headroom", 0).set(policy.top, "cross", "{regions: 0.4}");
    faults = faults(policy);
    // Hobart's 40 of 97 must cross regions; 0.4 of 97, 38.8, may.
    assertTrue(faults.get(0).contains("devonport and launceston serve 38.8 of 40 (the demand of hobart); binding: "
        + "cross.regions (0.4, line "), faults.get(0));
    assertTrue(faults.get(1).contains("cross.regions 0.4124 instead of 0.4"), faults.get(1));
    policy.set(policy.top, "cross", "{regions: 0.4124}").compile(folder);
    faults(policy.set(policy.top, "cross", "{regions: 0.4122}"));
  }

  @Test
  void regionWithoutHelpersIsReported() throws IOException {
    PolicyFileBuilder policy = threeZones();
    policy.set(policy.regions, "south", "{}");
    List<String> faults = faults(policy);
    assertTrue(faults.get(0).contains("if hobart fails, no zone may serve: 0 of 40 (the demand of hobart)"),
        faults.get(0));
    assertTrue(faults.get(1).contains("the least change: a zone that may serve hobart if hobart fails"), faults.get(1));
  }

  @Test
  void zeroCapacityAndZeroDemand() throws IOException {
    PolicyFileBuilder policy = threeZones();
    policy.zone("edge", "south", 5, 0, "").zone("spare", "south", 0, 50, "");
    Plan plan = policy.compile(folder);
    assertEquals(Map.of("spare", 5000, "hobart", 5000), weights(plan, "edge"));
    assertEquals(Map.of("spare", 10_000), weights(plan, "spare"));
    assertEquals(Map.of("hobart", 10_000), weights(plan, "spare", "spare"));
    // An origin without demand and without helpers gets no weights rather than an error.
    policy.set(policy.survive, "together", "[[hobart, spare, edge]]").set(policy.regions, "south", "{}");
    policy.zone("hobart", "south", 0, 0, "").zone("edge", "south", 0, 0, "");
    assertEquals(Map.of(), weights(policy.compile(folder), "spare", "edge", "hobart", "spare"));
  }

  @Test
  void cyclicHelpersAreUsedOneStepDeep() throws IOException {
    PolicyFileBuilder policy = new PolicyFileBuilder().zone("a", "r", 4, 8, ", served_by: [{a: 1}, {b: 1}]")
        .zone("b", "r", 4, 8, ", served_by: [{b: 1}, {c: 1}]").zone("c", "r", 4, 8, ", served_by: [{c: 1}, {a: 1}]");
    Plan plan = policy.set(policy.survive, "any_zone", true).compile(folder);
    assertEquals(Map.of("a", 10_000), weights(plan, "c", "c"));
    List<String> faults = faults(policy.set(policy.survive, "any", "[{count: 2}]"));
    assertTrue(faults.get(0).contains("if a and b fail, no zone may serve: 0 of 4 (the demand of a)"), faults.get(0));
  }

  @Test
  void measurementIsUsedOnlyAboveItsFloor() throws IOException {
    PolicyFileBuilder policy = tightPolicy().zone("devonport", "north", 27, "{measured: true, floor: 44}", "");
    Path file = policy.write(folder);
    for (double unusable : new double[] {Double.NaN, Double.POSITIVE_INFINITY, -5, 43}) {
      Measurements measurements = new Measurements(Map.of(), Map.of("devonport", unusable));
      assertThrows(InvalidFileException.class, () -> PolicyCompiler.compile(file, measurements));
    }
    PolicyCompiler.compile(file, new Measurements(Map.of(), Map.of("devonport", 57.0, "hobart", 1.0)));
  }

  @Test
  void contradictionsAreReportedWithTheirLocations() throws IOException {
    List<String> faults = faults("""
        version: 1
        fleet: f
        policy: 1
        regions:
          r: {helped_by: [{r: 1}]}
          empty: {}
        zones:
          a: {region: r, demand: 1, capacity: 1.5, served_by: [{a: 0}, {b: 1, nobody: 2}]}
          b: {region: nowhere, demand: 1, capacity: 1}
        survive:
          any_zone: true
        """);
    assertEquals(List.of(
        "bad.yaml:5:20: regions.r.helped_by: 'r' cannot help itself",
        "bad.yaml:6:3: regions.empty: the region has no zone",
        "bad.yaml:8:56: zones.a.served_by: all weights of this step are 0; at least one must be above 0",
        "bad.yaml:8:71: zones.a.served_by: unknown name 'nobody'; allowed: a, b",
        "bad.yaml:9:15: zones.b.region: unknown region 'nowhere'; allowed: empty, r"), faults);
    PolicyFileBuilder policy = threeZones();
    assertTrue(faults(policy.set(policy.survive, "any", "[{count: 4}]")).get(0).contains("4 of 3 zones"));
    assertTrue(faults(policy.set(policy.survive, "any", "[{count: 1, of: [x]}]")).get(0).contains("unknown zone 'x'"));
    policy.zone("hobart", "south", 1.2345, 50, "");
    assertTrue(faults(policy).get(0).contains("zones.hobart.demand: found 1.2345; allowed: a number from 0"));
  }

  @Test
  void weightsAreIntegersAndSumToFullWeight() throws IOException {
    PolicyFileBuilder policy = new PolicyFileBuilder().zone("a", "r", 1, 0, ", served_by: [{b: 1, c: 1, d: 1}]")
        .zone("b", "r", 0, 0.334, "").zone("c", "r", 0, 0.334, "").zone("d", "r", 0, 0.334, "");
    assertEquals(Map.of("b", 3334, "c", 3333, "d", 3333), weights(policy.compile(folder), "a"));
  }
}
