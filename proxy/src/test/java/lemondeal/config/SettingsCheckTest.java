package lemondeal.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Invalid settings are reported in one line that names the file, the path and what is allowed there. */
class SettingsCheckTest {
  private static final Path EXAMPLE = Path.of("../example/config.json");
  private static final String CLASS = "{\"name\": \"chat\", \"semantics\": \"idempotent\", \"aim\": 500000, "
      + "\"hardLimit\": 2000000, \"gain\": 1.0, \"streamed\": true}";

  @TempDir
  Path folder;

  private String message(String text) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), text);
    ConfigException e = assertThrows(ConfigException.class, () -> Config.read(Map.of("GW_CONFIG", file.toString())));
    assertFalse(e.getMessage().contains("\n"), e.getMessage());
    assertTrue(e.getMessage().startsWith(file + ": "), e.getMessage());
    return e.getMessage();
  }

  /** The example with a part of its text replaced, which it must contain. */
  private static String exampleWith(String original, String replacement) throws IOException {
    String good = Files.readString(EXAMPLE);
    assertTrue(good.contains(original), original);
    return good.replace(original, replacement);
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
      "\"settings\": { | \"other\": { | config.settings.profiles: found no class; allowed: one class at least",
      "\"profiles\": [ | \"other\": [ | profiles: found no class; allowed: one class at least",
      "\"name\": \"chat\" | \"name\": \"\" | profiles[0].name: found ''; allowed: a name without blanks",
      "\"name\": \"chat\" | \"name\": \"a b\" | profiles[0].name: found 'a b'; allowed: a name without blanks",
      "\"name\": \"chat\" | \"name\": 7 | profiles[0].name should be a string, found 7.0",
      "idempotent | maybe | profiles[0].semantics: found 'maybe'; allowed: idempotent, deduplicated, at_most_once",
      "\"gain\" | \"group\": \"fleet\", \"gain\" | profiles[0].group: found 'fleet'; allowed: all, zone, cell",
      "\"hardLimit\": 2000000 | \"hardLimit\": 0 | profiles[0].hardLimit: found 0.0; allowed: microseconds, 1 to",
      "\"hardLimit\": 2000000 | \"hardLimit\": -5 | profiles[0].hardLimit: found -5.0; allowed: microseconds, 1 to",
      "\"hardLimit\": 2000000 | \"hardLimit\": 1e300 | profiles[0].hardLimit: found 1.0E300; allowed: microseconds, 1",
      "\"hardLimit\": 2000000 | \"hardLimit\": \"2\" | profiles[0].hardLimit should be a number, found 2",
      "\"hardLimit\": 2000000 | \"limit\": 2 | profiles[0].hardLimit: found nothing; allowed: microseconds, 1 to",
      "\"aim\": 500000 | \"aim\": 1e999 | profiles[0].aim: found Infinity; allowed: microseconds, 0 to",
      "\"gain\": 1.0 | \"gain\": -1 | profiles[0].gain: found -1.0; allowed: a number from 0 on",
      "\"gain\" | \"dedupWindow\": -1, \"gain\" | profiles[0].dedupWindow: found -1.0; allowed: microseconds, 0 to",
      "[150000] | [-1] | familyInfo.messageAim: found -1.0; allowed: each microseconds, 0 to",
      "[150000] | [\"x\"] | familyInfo.messageAim: found x; allowed: each microseconds, 0 to",
      "\"mode\": \"proxy\" | \"mode\": \"relay\" | familyInfo.mode: found 'relay'; allowed: proxy, pass",
      "\"on_probe\" | \"daily\" | loadReport.via: found 'daily'; allowed: off, inline, on_probe",
      "\"subscribe\" | \"ask\" | settings.membershipMode: found 'ask'; allowed: automatic, subscribe",
      "\"rough\" | \"big\" | settings.weightSource: found 'big'; allowed: off, nominal, rough, live",
      "\"slotNo\": 0 | \"slotNo\": 1 | settings.slotNo: found 1.0; allowed: 0 to balancers - 1, 0",
      "\"balancers\": 1 | \"balancers\": 0 | settings.balancers: found 0.0; allowed: a whole number, 1 to",
      "\"locality\": 0 | \"locality\": 1 | settings.locality: found 1.0; allowed: a place in azs, 0 to 0",
      "[\"a\"] | [\"a\", \"a\"] | settings.azs: found [a, a] with a name twice; allowed: each name once",
      "[\"toy\"] | [\"m\", \"m\"] | settings.flavors: found [m, m] with a name twice; allowed: each name once",
      "\"overloadFor\": 2000000 | \"overloadFor\": 0 | rules.overloadFor: found 0.0; allowed: microseconds, 1 to",
      "\"askEvery\": 10000000 | \"askEvery\": 0 | rules.askEvery: found 0.0; allowed: microseconds, 1 to",
      "\"askEvery\": 10000000 | \"other\": 0 | rules.askEvery: found nothing; allowed: microseconds, 1 to",
      "\"drainGrace\": 1000000 | \"drainGrace\": -1 | rules.drainGrace: found -1.0; allowed: microseconds, 0 to",
      "\"answerSlack\": 20000 | \"answerSlack\": 1e12 | rules.answerSlack: found 1.0E12; allowed: microseconds, 0 to",
      "\"warmWithin\": 9000000 | \"warmWithin\": -9 | rules.warmWithin: found -9.0; allowed: microseconds, 0 to",
      "\"fallMultiple\": 4.0 | \"fallMultiple\": 0 | rules.fallMultiple: found 0.0; allowed: a number above 0",
      "\"coldFrom\": 0.35 | \"coldFrom\": 1.5 | rules.coldFrom: found 1.5; allowed: 0 to 1",
      "\"rules\": { | \"rule\": { | settings.rules: found nothing; allowed: an object with the figures",
      "\"permissions\": { | \"other\": { | settings.permissions: found nothing; allowed: an object with the figures",
      "\"rules\": { | \"rules\": 7, \"other\": { | settings.rules should be an object, found 7.0",
      "\"tryLimit\": 3 | \"tryLimit\": 0 | permissions.tryLimit: found 0.0; allowed: a whole number, 1 to",
      "\"dialTimeout\": 150000 | \"dialTimeout\": 0 | permissions.dialTimeout: found 0.0; allowed: microseconds, 1 to",
      "\"keepalive\": 5000000 | \"keepalive\": -5 | permissions.keepalive: found -5.0; allowed: microseconds, 0 to",
      "\"maxRetryAfter\": 2000000 | \"maxRetryAfter\": 1e30 | permissions.maxRetryAfter: found 1.0E30; allowed: micro",
      "\"mayProbe\": true | \"mayProbe\": 1 | permissions.mayProbe should be true or false, found 1.0",
      "\"crossZone\": 0.03 | \"crossZone\": -1 | prices.crossZone: found -1.0; allowed: a number from 0 on",
      "\"sockets\": 1024 | \"sockets\": 1e12 | limits.sockets: found 1.0E12; allowed: a whole number, 1 to",
      "\"memory_mb\": 192 | \"memory_mb\": 0 | limits.memory_mb: found 0.0; allowed: a whole number, 1 to",
      "\"aim\": 500000 | \"aim\": NaN | not JSON",
  })
  void invalidValuesAreReportedWithPathAndAllowedValues(String original, String replacement, String line)
      throws IOException {
    assertTrue(message(exampleWith(original, replacement)).contains(line), message(exampleWith(original, replacement)));
  }

  @Test
  void duplicateClassNamesAreReported() throws IOException {
    String line = message(exampleWith(CLASS, CLASS + ", " + CLASS));
    assertTrue(line.endsWith("profiles[1].name: found 'chat' twice; allowed: a name of its own for each class"), line);
  }

  @Test
  void invalidTenantPortionsAreReported() throws IOException {
    String tenants = "\"tenants\": [{\"name\": \"x\", \"portion\": %s}, {\"name\": \"y\", \"portion\": 0.5}], "
        + "\"slotNo\"";
    String line = message(exampleWith("\"slotNo\"", tenants.formatted("0.6")));
    assertTrue(line.endsWith("settings.tenants: found portions that sum to 1.1; allowed: portions that sum to 1 at"
        + " most"), line);
    line = message(exampleWith("\"slotNo\"", tenants.formatted("-0.1")));
    assertTrue(line.endsWith("settings.tenants[0].portion: found -0.1; allowed: 0 to 1"), line);
    Path file = Files.writeString(folder.resolve("good.json"), exampleWith("\"slotNo\"", tenants.formatted("0.5")));
    assertEquals(2, Config.read(Map.of("GW_CONFIG", file.toString())).settings().tenants().size());
  }

  /** Deployments of other kinds of service may omit keys and have unknown ones. */
  @Test
  void absentAndUnknownKeysAreAccepted() throws IOException {
    for (String key : new String[] {"prices", "loadReport", "weightSource", "flavors", "familyInfo"}) {
      Path file = Files.writeString(folder.resolve("config.json"), exampleWith("\"" + key + "\"", "\"other\""));
      assertEquals("chat", Config.read(Map.of("GW_CONFIG", file.toString())).names().classes().get(0));
    }
  }
}
