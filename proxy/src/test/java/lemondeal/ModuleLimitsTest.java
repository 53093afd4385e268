package lemondeal;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The users' limits for the decision module's text. */
class ModuleLimitsTest {

  @Test
  void logicKeepsItsLineLimitsAndNamesItsInterface() throws IOException {
    List<String> lines = new ArrayList<>(Files.readAllLines(Path.of("src/main/java/lemondeal/Logic.java")));
    lines.addAll(Files.readAllLines(Path.of("src/main/java/lemondeal/Rendezvous.java")));
    long full = lines.stream().filter(line -> !line.isBlank()).count();
    assertTrue(full >= 300 && full <= 1_200, full + " lines");
    assertTrue(lines.stream().allMatch(line -> line.length() <= 110));
    assertTrue(lines.stream().limit(5).anyMatch(line -> line.contains("Balancer.java")));
  }
}
