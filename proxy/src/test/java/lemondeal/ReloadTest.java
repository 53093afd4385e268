package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.log.PlainLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Changes of the configuration file while a proxy runs. */
@Timeout(30)
class ReloadTest {
  private static final int INITIAL_PORT = 8500;

  @TempDir
  Path folder;

  private final BlockingQueue<Config> reloaded = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
  private final PrintStream log = new PrintStream(new ByteArrayOutputStream()) {
    @Override
    public void println(String line) {
      logLines.add(line);
    }
  };

  private Map<String, String> write(int port) throws IOException {
    String example = Files.readString(Path.of("../example/config.json"));
    Path file = folder.resolve("config.json");
    Files.writeString(file, example.replace("127.0.0.1:" + INITIAL_PORT, "127.0.0.1:" + port));
    return Map.of("GW_CONFIG", file.toString(), "GW_DISCOVERY", "127.0.0.1:" + INITIAL_PORT);
  }

  private ConfigReloader newReloader(Map<String, String> environment) {
    return new ConfigReloader(Config.read(environment), environment, reloaded::add, new PlainLog(log), () -> { });
  }

  private int nextPort() throws InterruptedException {
    Config config = reloaded.poll(10, TimeUnit.SECONDS);
    assertNotNull(config, logLines::toString);
    return config.discovery().getPort();
  }

  /** The address in the environment is the one at the start and would hide all later ones. */
  @Test
  void aChangedAddressInTheFileOverridesTheEnvironment() throws Exception {
    Map<String, String> environment = write(INITIAL_PORT);
    try (ConfigReloader reloader = newReloader(environment)) {
      for (int port : new int[] {8501, 8502}) {
        write(port);
        reloader.request();
        assertEquals(port, nextPort());
      }
      reloader.request();
      assertEquals(8502, nextPort(), "an unchanged file changes nothing");
    }
  }

  @Test
  void aBadFileIsLoggedInOneLineAndTheOldConfigurationStays() throws Exception {
    Map<String, String> environment = write(INITIAL_PORT);
    try (ConfigReloader reloader = newReloader(environment)) {
      Files.writeString(Path.of(environment.get("GW_CONFIG")), "{\"name\":");
      reloader.request();
      String line = logLines.poll(10, TimeUnit.SECONDS);
      assertTrue(line != null && line.contains("stays as it was") && !line.contains("\n"), line);
      assertTrue(reloaded.isEmpty());
      write(8501);
      reloader.request();
      assertEquals(8501, nextPort());
    }
  }

  /** Invalid settings give the same message at a start, which fails, and at a reload, which keeps the old ones. */
  @Test
  void invalidSettingsFailAStartAndAreRejectedByAReload() throws Exception {
    Map<String, String> environment = write(INITIAL_PORT);
    Path file = Path.of(environment.get("GW_CONFIG"));
    try (ConfigReloader reloader = newReloader(environment)) {
      String good = Files.readString(file);
      for (String bad : new String[] {good.replace("\"overloadFor\": 2000000", "\"overloadFor\": 0"),
          good.replace("idempotent", "sometimes"), good.replace("\"profiles\"", "\"classes\"")}) {
        assertNotEquals(good, bad);
        Files.writeString(file, bad);
        assertEquals(2, Serve.run(environment, null));
        String message = assertThrows(ConfigException.class, () -> Config.read(environment)).getMessage();
        reloader.request();
        assertEquals("lemondeal: the configuration stays as it was: " + message, logLines.poll(10, TimeUnit.SECONDS));
      }
      assertTrue(reloaded.isEmpty());
      write(8501);
      reloader.request();
      assertEquals(8501, nextPort());
    }
  }

  /** Changes that need a restart are named in the log and have no effect until then. */
  @Test
  void changesThatNeedARestartAreLogged() throws Exception {
    Map<String, String> environment = write(INITIAL_PORT);
    Path file = Path.of(environment.get("GW_CONFIG"));
    try (ConfigReloader reloader = newReloader(environment)) {
      Files.writeString(file, Files.readString(file).replace("\"sockets\": 1024", "\"sockets\": 512")
          .replace("8c1f30d27a5be964", "1").replace("\"aim\": 500000", "\"aim\": 400000"));
      reloader.request();
      String line = logLines.poll(10, TimeUnit.SECONDS);
      assertTrue(line.endsWith("; seed, limits take effect at the next start"), line);
      Config config = reloaded.poll(10, TimeUnit.SECONDS);
      assertEquals(1024, config.machineLimits().sockets());
      assertEquals(400_000, config.settings().classes().get(0).latencyTarget(), "the settings are applied");
    }
  }

  /** A JVM without a handler exits on SIGHUP. */
  @Test
  void everyHangupIsHandled() throws Exception {
    try (RunningProgram program = new RunningProgram(ProgramCommands.java(HangupEcho.class), Map.of())) {
      program.awaitLine(HangupEcho.READY);
      for (int i = 0; i < 3; i++) {
        program.signal("HUP");
        program.awaitLine(HangupEcho.RECEIVED + i);
      }
    }
  }
}
