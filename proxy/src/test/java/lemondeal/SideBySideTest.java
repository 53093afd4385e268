package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two programs for two deployments, started in one folder with the deploy file's flags. */
@Timeout(60)
class SideBySideTest {
  private static final String LISTENING = "lemondeal: listening on ";

  @TempDir
  Path folder;

  /** The deploy file's command, with the compiled classes instead of the jar. */
  private static List<String> command() throws IOException {
    List<String> command = new ArrayList<>(ProgramCommands.DEFAULT_SIGNALS);
    command.add(ProgramCommands.java());
    command.addAll(ProgramCommands.deployedFlags());
    command.addAll(List.of("-Djava.io.tmpdir=.", "-cp", ProgramCommands.classPath(), "lemondeal.Main", "serve"));
    return command;
  }

  private Process start(String name, String requestClass) throws IOException {
    String text = Files.readString(Path.of("../example/config.json")).replace("127.0.0.1:8443", "127.0.0.1:0")
        .replace("\"example\"", "\"" + name + "\"").replace("\"chat\"", "\"" + requestClass + "\"");
    Path config = Files.writeString(folder.resolve(name + ".json"), text);
    ProcessBuilder builder = new ProcessBuilder(command()).directory(folder.toFile()).redirectErrorStream(true);
    builder.environment().put("GW_CONFIG", config.toString());
    return builder.start();
  }

  private static void awaitListening(Process program) throws IOException {
    BufferedReader output = new BufferedReader(new InputStreamReader(program.getInputStream(), StandardCharsets.UTF_8));
    String line = output.readLine();
    while (line != null && !line.startsWith(LISTENING)) {
      line = output.readLine();
    }
    assertNotNull(line, "the program ended before it listened");
  }

  /** Regular files that the process holds open for writing. */
  private static List<String> filesOpenForWriting(Process program) throws IOException {
    List<String> paths = new ArrayList<>();
    Path open = Path.of("/proc/" + program.pid() + "/fd");
    try (Stream<Path> files = Files.list(open)) {
      for (Path file : files.toList()) {
        try {
          if (isOpenForWriting(file, open.resolveSibling("fdinfo").resolve(file.getFileName().toString()))) {
            paths.add(file.toRealPath().toString());
          }
        } catch (NoSuchFileException e) {
          // Closed since the folder was listed, such as a jar whose classes are loaded. Other failures are reported.
          assertTrue(program.isAlive(), "the program ended");
        }
      }
    }
    return paths;
  }

  private static boolean isOpenForWriting(Path file, Path information) throws IOException {
    String flags = Files.readString(information).replaceAll("(?s).*flags:\\s*(\\d+).*", "$1");
    return Files.isRegularFile(file) && (Integer.parseInt(flags, 8) & 3) != 0;
  }

  @Test
  void neitherProgramWritesAFile() throws Exception {
    Process first = start("one", "chat");
    Process second = start("other", "feed");
    try {
      awaitListening(first);
      awaitListening(second);
      assertEquals(List.of(), filesOpenForWriting(first));
      assertEquals(List.of(), filesOpenForWriting(second));
      try (Stream<Path> remaining = Files.list(folder)) {
        assertEquals(List.of("one.json", "other.json"),
            remaining.map(each -> each.getFileName().toString()).sorted().toList());
      }
      assertTrue(first.isAlive() && second.isAlive());
    } finally {
      first.destroyForcibly().waitFor();
      second.destroyForcibly().waitFor();
    }
  }
}
