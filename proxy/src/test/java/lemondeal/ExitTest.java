package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The exit of the process after a completed stop. */
@Timeout(120)
class ExitTest {
  private static final int RUNS = 5;
  /** The JVM's own wait for native threads is 0.3 s on any machine; an exit without it takes some milliseconds. */
  private static final long MAX_EXIT_MILLIS = 200;

  @TempDir
  Path folder;

  /** With clients that stay, a stop leaves only 0.2 s before a possible SIGKILL, so the exit must not take longer. */
  @Test
  void theProcessExitsAtOnceAfterTheStop() throws Exception {
    String text = Files.readString(Path.of("../example/config.json")).replace("127.0.0.1:8443", "127.0.0.1:0");
    Path config = Files.writeString(folder.resolve("config.json"), text);
    long fastestMillis = Long.MAX_VALUE;
    for (int i = 0; i < RUNS; i++) {
      try (RunningProgram program = new RunningProgram(ProgramCommands.deployed(),
          Map.of("GW_CONFIG", config.toString(), "GW_DISCOVERY", "127.0.0.1:1"))) {
        program.awaitListening().signal("TERM");
        program.awaitLine("lemondeal: stopped");
        long stoppedAt = System.nanoTime();
        assertEquals(0, program.exitCode());
        fastestMillis = Math.min(fastestMillis, (System.nanoTime() - stoppedAt) / 1_000_000);
        assertEquals(List.of(), program.remainingLines(), "nothing is logged after the stop");
      }
    }
    assertTrue(fastestMillis < MAX_EXIT_MILLIS,
        fastestMillis + " ms from the end of the stop to the exit, the fastest of " + RUNS);
  }
}
