package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Starts under a supervisor that ignores signals, which child processes inherit. */
@Timeout(60)
class StartSignalsTest {
  /** HUP, INT and TERM in a signal mask, in which signal n is bit n - 1. */
  private static final long HANDLED_MASK = 1L << 0 | 1L << 1 | 1L << 14;

  @TempDir
  Path folder;

  private Map<String, String> environment;

  @BeforeEach
  void configure() throws IOException {
    String text = Files.readString(Path.of("../example/config.json")).replace("127.0.0.1:8443", "127.0.0.1:0");
    Path config = Files.writeString(folder.resolve("config.json"), text);
    environment = Map.of("GW_CONFIG", config.toString(), "GW_DISCOVERY", "127.0.0.1:1");
  }

  private RunningProgram startWithSignalsIgnored(List<String> command) throws IOException {
    List<String> fullCommand = new ArrayList<>(ProgramCommands.IGNORED_SIGNALS);
    fullCommand.addAll(command);
    return new RunningProgram(fullCommand, environment);
  }

  @Test
  void theDeployedCommandHandlesSignalsThatItsParentIgnores() throws Exception {
    try (RunningProgram program = startWithSignalsIgnored(ProgramCommands.deployed())) {
      program.awaitListening();
      assertEquals(0, program.ignoredSignals() & HANDLED_MASK);
      program.signal("HUP");
      program.awaitLine("configuration read anew");
      program.signal("TERM");
      assertEquals(0, program.exitCode());
    }
  }

  @Test
  void ignoredSignalsAreLoggedAtTheStart() throws Exception {
    try (RunningProgram program = startWithSignalsIgnored(ProgramCommands.serveWithInheritedSignals())) {
      program.awaitListening();
      List<String> warnings = program.seenLines().stream().filter(line -> line.contains("SIGHUP")).toList();
      assertEquals(1, warnings.size(), program.seenLines()::toString);
      assertTrue(warnings.get(0).contains("SIGINT") && warnings.get(0).contains("SIGTERM"), warnings.get(0));
    }
  }

  @Test
  void noWarningIsLoggedWhereSignalsAreHandled() throws Exception {
    try (RunningProgram program = new RunningProgram(ProgramCommands.serve(), environment)) {
      program.awaitListening();
      assertFalse(program.seenLines().stream().anyMatch(line -> line.contains("SIG")), program.seenLines()::toString);
    }
  }
}
