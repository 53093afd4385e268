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
import lemondeal.operator.FileFaults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What a plan says for a failure, and which files are none. */
class CompilerTest {
  @TempDir
  Path folder;

  private static Policies three() {
    Policies policy = new Policies().zone("hobart", "south", 40, 50, "").zone("launceston", "north", 30, 60, "")
        .zone("devonport", "north", 20, 60, "");
    return policy.set(policy.regions, "south", "{helped_by: [{north: 1}]}")
        .set(policy.regions, "north", "{helped_by: [{south: 1}]}").set(policy.survive, "any_zone", true);
  }

  private static Map<String, Integer> weights(Plan plan, String origin, String... failed) {
    return plan.weights(plan.of(List.of(failed)).orElseThrow(), origin);
  }

  private List<String> faults(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("bad.yaml"), text);
    return assertThrows(FileFaults.class, () -> PolicyCompiler.compile(file, Measured.NONE)).getMessage().lines()
        .map(line -> line.substring(line.indexOf("bad.yaml"))).toList();
  }

  private List<String> faults(Policies policy) throws IOException {
    return faults(policy.text(new Random(1)));
  }

  @Test
  void theExampleHolds() {
    Plan plan = PolicyCompiler.compile(Path.of("../deploy/failover.example.yaml"), Measured.NONE);
    assertEquals(10, plan.cases().size());
    assertEquals(Map.of("hobart", 10_000), weights(plan, "hobart"));
    assertEquals(Map.of("devonport", 6667, "hobart", 3333), weights(plan, "launceston", "launceston"));
    assertTrue(plan.of(List.of("hobart", "kingston", "devonport")).isEmpty());
  }

  @Test
  void onlyWhatIsLostMoves() throws IOException {
    Plan plan = three().compile(folder);
    assertEquals(Map.of("devonport", 5000, "launceston", 5000), weights(plan, "hobart", "hobart"));
    assertEquals(Map.of("launceston", 10_000), weights(plan, "launceston", "hobart"));
    // Its own region goes first, as far as it can bear it.
    assertEquals(Map.of("devonport", 10_000), weights(plan, "launceston", "launceston"));
  }

  @Test
  void othersMoveOnlyWhereNothingElseFits() throws IOException {
    // a can go to b alone, which is full of its own, a part of which c can take.
    Policies policy = new Policies().zone("a", "r", 6, 6, ", served_by: [{a: 1}, {b: 1}]")
        .zone("b", "r", 6, 8, ", served_by: [{b: 1}, {c: 1}]").zone("c", "r", 0, 6, ", served_by: [{c: 1}]");
    Plan plan = policy.set(policy.survive, "together", "[[a]]").compile(folder);
    assertEquals(Map.of("b", 10_000), weights(plan, "a", "a"));
    assertEquals(Map.of("b", 3333, "c", 6667), weights(plan, "b", "a"));
  }

  @Test
  void sameBytesWhateverTheOrder() throws IOException {
    byte[] bytes = PlanCodec.encode(three().compile(folder));
    for (int seed = 2; seed < 12; seed++) {
      Path file = Files.writeString(folder.resolve("shuffled.yaml"), three().text(new Random(seed)));
      assertArrayEquals(bytes, PlanCodec.encode(PolicyCompiler.compile(file, Measured.NONE)));
    }
  }
}
