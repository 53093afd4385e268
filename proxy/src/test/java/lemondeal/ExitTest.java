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

/** How the program's process ends, once its stop is carried out. */
@Timeout(120)
class ExitTest {
  private static final int RUNS = 5;
  /** The virtual machine's own wait is 0.3 s on any machine; the end without it takes some milliseconds. */
  private static final long MAX_EXIT_MILLIS = 200;

  @TempDir
  Path folder;

  /** A stop uses all of its time but 0.2 s where clients stay; SIGKILL may come right after. */
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
        assertEquals(List.of(), program.remainingLines(), "nothing is begun any more");
      }
    }
    assertTrue(fastestMillis < MAX_EXIT_MILLIS, fastestMillis + " ms from the stop's end to the process's, at the least of " + RUNS);
  }
}
