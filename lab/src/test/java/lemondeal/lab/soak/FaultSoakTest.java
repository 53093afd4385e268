package lemondeal.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak with fixed seeds; {@code make soak} runs many seeds. */
@Timeout(180)
class FaultSoakTest {
  private static final Soak.Size SHORT_SOAK = new Soak.Size(10, 6, 8_000);

  @TempDir
  Path folder;

  @ParameterizedTest
  @ValueSource(longs = {100, 101})
  void noRuleIsBrokenUnderRandomFaults(long seed) throws Exception {
    Soak.Result result = Soak.run(seed, SHORT_SOAK, folder, System.out);
    System.out.println("soak of seed " + seed + ": " + result.summary());
    assertEquals(List.of(), result.violations());
    // Guards against a soak that proves nothing because hardly any request was served.
    assertTrue(result.served() > 100, result.summary());
  }
}
