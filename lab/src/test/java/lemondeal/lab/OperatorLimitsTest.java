package lemondeal.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Ring buffers that exceed the JVM's direct memory are refused at startup with a one-line error. */
@Timeout(60)
class OperatorLimitsTest {
  @TempDir
  Path folder;

  @Test
  void ringsLargerThanDirectMemoryAreRefusedAtStart() throws Exception {
    Path config = folder.resolve("config.json");
    Files.writeString(config, Files.readString(Path.of("../example/config.json"))
        .replaceFirst("\"memory_mb\": *[0-9]+", "\"memory_mb\":4096"));
    Path operator = folder.resolve("operator.yaml");
    Files.writeString(operator, "version: 1\nlimits: {rings_mb: 200}\n");
    ProcessBuilder builder = new ProcessBuilder(ProxyProcess.command("serve", "--config", operator.toString()))
        .redirectErrorStream(true);
    builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
    builder.environment().put("GW_CONFIG", config.toString());
    builder.environment().put("GW_LISTEN", "127.0.0.1:0");
    Process proxy = builder.start();
    String output = new String(proxy.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(proxy.waitFor(30, TimeUnit.SECONDS));
    assertEquals(2, proxy.exitValue(), output);
    // ProxyProcess starts with -Xmx96m and no limit on direct memory, so the heap limit applies.
    Matcher matcher = Pattern
        .compile("limits\\.rings_mb: found 200; allowed: at most ([0-9]+) with this JVM's ([0-9]+) MB")
        .matcher(output);
    assertTrue(matcher.find(), output);
    int directMemoryMb = Integer.parseInt(matcher.group(2));
    assertTrue(directMemoryMb > 64 && directMemoryMb <= 96, output);
    assertEquals(directMemoryMb - 4, Integer.parseInt(matcher.group(1)), output);
    assertEquals(1, output.lines().filter(line -> line.startsWith("lemondeal:")).count(), output);
  }
}
