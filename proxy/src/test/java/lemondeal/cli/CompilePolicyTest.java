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
import lemondeal.failover.Measured;
import lemondeal.failover.PlanCodec;
import lemondeal.failover.PolicyCompiler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The one command of failover policies, as scripts see it. */
class CompilePolicyTest {
  private static final Path EXAMPLE = Path.of("../deploy/failover.example.yaml");

  @TempDir
  Path folder;

  private static String complaints(int code, String... words) {
    PrintStream err = System.err;
    ByteArrayOutputStream said = new ByteArrayOutputStream();
    try {
      System.setErr(new PrintStream(said, true));
      assertEquals(code, Lemondeal.run(words), said::toString);
    } finally {
      System.setErr(err);
    }
    return said.toString();
  }

  @Test
  void writesThePlan() throws IOException {
    Path out = folder.resolve("plan");
    assertEquals("", complaints(0, "compile-policy", EXAMPLE.toString(), "--out", out.toString()));
    assertArrayEquals(PlanCodec.encode(PolicyCompiler.compile(EXAMPLE, Measured.NONE)), Files.readAllBytes(out));
  }

  @Test
  void whatCannotHoldIsTwoAndNoPlan() throws IOException {
    Path bad = folder.resolve("bad.yaml");
    Files.writeString(bad, Files.readString(EXAMPLE).replace("headroom: 0.1", "headroom: 0.5"));
    Path out = folder.resolve("plan");
    String said = complaints(2, "compile-policy", bad.toString(), "--out", out.toString());
    assertTrue(said.startsWith("lemondeal: " + bad + ":58:7: if devonport and hobart fail, kingston and launceston bear "
        + "85 of 110"), said);
    assertTrue(said.lines().allMatch(line -> line.startsWith("lemondeal: " + bad + ":")), said);
    assertFalse(Files.exists(out));
  }
}
