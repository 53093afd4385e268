package lemondeal.cli;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import lemondeal.failover.Measurements;
import lemondeal.failover.PlanCodec;
import lemondeal.failover.PolicyCompiler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command {@code compile-policy} as scripts see it. */
class CompilePolicyTest {
  private static final Path EXAMPLE = Path.of("../deploy/failover.example.yaml");

  @TempDir
  Path folder;

  private static String errorOutput(int code, String... arguments) {
    PrintStream originalErr = System.err;
    ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
    try {
      System.setErr(new PrintStream(capturedErr, true));
      assertEquals(code, Lemondeal.run(arguments), capturedErr::toString);
    } finally {
      System.setErr(originalErr);
    }
    return capturedErr.toString();
  }

  @Test
  void writesThePlan() throws IOException {
    Path out = folder.resolve("plan");
    assertEquals("", errorOutput(0, "compile-policy", EXAMPLE.toString(), "--out", out.toString()));
    assertArrayEquals(PlanCodec.encode(PolicyCompiler.compile(EXAMPLE, Measurements.NONE)), Files.readAllBytes(out));
  }

  @Test
  void infeasiblePolicyExitsWithTwoAndWritesNoPlan() throws IOException {
    Path bad = folder.resolve("bad.yaml");
    Files.writeString(bad, Files.readString(EXAMPLE).replace("headroom: 0.1", "headroom: 0.5"));
    Path out = folder.resolve("plan");
    String errors = errorOutput(2, "compile-policy", bad.toString(), "--out", out.toString());
    assertTrue(errors.startsWith("lemondeal: " + bad
        + ":58:7: if devonport and hobart fail, kingston and launceston serve "
        + "85 of 110"), errors);
    assertTrue(errors.lines().allMatch(line -> line.startsWith("lemondeal: " + bad + ":")), errors);
    assertFalse(Files.exists(out));
  }
}
