package lemondeal.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.ShuffledJson;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Equivalent configuration files give equal configurations. */
class ConfigEquivalenceTest {
  private static final Path EXAMPLE = Path.of("../example/config.json");

  private static Config read(String text) throws IOException {
    Path file = Files.createTempFile("lemondeal", ".json");
    try {
      return Config.read(Map.of("GW_CONFIG", Files.writeString(file, text).toString()));
    } finally {
      Files.delete(file);
    }
  }

  @Property(tries = 50, seed = "3")
  void theOrderOfKeysAndSectionsDoesNotMatter(@ForAll long seed) throws IOException {
    String text = Files.readString(EXAMPLE);
    assertEquals(read(text), read(ShuffledJson.of(text, new Random(seed))));
  }

  /** The order of classes matters, since the decision module refers to them by index; their names do not. */
  @Example
  void renamedClassesAndZonesChangeOnlyNames() throws IOException {
    String text = Files.readString(EXAMPLE);
    Config plain = read(text);
    Config renamed = read(text.replace("\"chat\"", "\"other-7\"").replace("\"azs\": [\"a\"]", "\"azs\": [\"north\"]")
        .replace("\"toy\"", "\"large\""));
    assertNotEquals(plain.names(), renamed.names());
    assertEquals(new Config.Names(List.of("other-7"), List.of("north"), List.of("large")), renamed.names());
    assertEquals(plain.settings(), renamed.settings());
    assertEquals(plain.limits(), renamed.limits());
  }
}
