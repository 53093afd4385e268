package lemondeal.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Random;
import java.util.Set;
import lemondeal.resume.KeyRing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Valid and invalid operator's files and key files, with the faults that are reported. */
class OperatorConfigTest {
  @TempDir
  Path folder;

  private Path file(String text) throws IOException {
    return Files.writeString(folder.resolve("operator.yaml"), text);
  }

  private List<String> faults(String text) throws IOException {
    Path file = file(text);
    return assertThrows(InvalidFileException.class, () -> OperatorConfig.read(file)).faults().stream()
        .map(fault -> fault.line() + ":" + fault.column() + " " + fault.message()).toList();
  }

  @Test
  void exampleIsValidAndShowsTheDefaults() throws IOException {
    Path example = Path.of("../deploy/operator.example.yaml");
    OperatorConfig config = OperatorConfig.read(example);
    assertTrue(config.jsonLog());
    OperatorConfig minimal =
        OperatorConfig.read(file("version: 1\nresume: {classes: [order-sync], keys: keys.yaml}\n"));
    assertEquals(minimal.resume().settings(), config.resume().settings(), "the example shows the defaults");
    assertEquals(OperatorConfig.ClaimStorage.MEMORY, minimal.resume().claimStorage());
    assertEquals(folder.resolve("keys.yaml"), minimal.resume().keyFile());
    assertFalse(minimal.jsonLog());
  }

  @Test
  void durationsAndCountsAreRead() throws IOException {
    OperatorConfig config = OperatorConfig.read(file("""
        version: 1
        resume:
          classes: [a, b]
          keys: /k
          life: 2m
          skew: 250ms
          checkpoint: 1s
          window: 9
          claims: {in: disk, folder: claims}
        """));
    assertEquals(Set.of("a", "b"), config.resume().settings().classes());
    assertEquals(120_000, config.resume().settings().tokenLifetimeMillis());
    assertEquals(250, config.resume().settings().clockSkewMillis());
    assertEquals(9, config.resume().settings().maxUnacknowledgedLines());
    assertEquals(folder.resolve("claims"), config.resume().claimsFolder());
  }

  @Test
  void allFaultsAreReportedAtOnceWithTheirLocations() throws IOException {
    assertEquals(List.of(
        "1:10 version: found 2; allowed: the whole number 1",
        "2:1 the file: unknown key 'logg'; allowed: discovery, fleet, limits, log, resume, version",
        "4:3 resume: the key 'keys' is missing; allowed: the path of a key file",
        "4:12 resume.classes: found []; allowed: a list of at least one class, each named once",
        "5:9 resume.life: found \"5 seconds\"; allowed: a time such as 250ms, 30s or 5m, 1ms to 24h",
        "7:9 resume.claims.in: found \"tape\"; allowed: memory, disk or fleet"),
        faults("version: 2\nlogg: 3\nresume:\n  classes: []\n  life: 5 seconds\n  claims:\n    in: tape\n"));
  }

  @Test
  void rulesBeyondTheSchemaAreChecked() throws IOException {
    String start = "version: 1\nresume:\n  classes: [a]\n  keys: k\n";
    assertEquals(List.of("0:0 resume.claims.folder: is missing with in: disk"),
        faults(start + "  claims: {in: disk}\n"));
    assertEquals(List.of("0:0 resume.claims.store: is not allowed with in: memory"),
        faults(start + "  claims: {in: memory, store: '1.2.3.4:5'}\n"));
    assertEquals(List.of("0:0 resume.checkpoint: found 60000 ms; allowed: less than resume.life, 60000 ms"),
        faults(start + "  checkpoint: 60s\n"));
    assertTrue(faults(start + "  claims: {in: fleet, store: here}\n").get(0).contains("no numeric address:port"));
    assertEquals(List.of("0:0 resume.life: found 99h; allowed: 1ms to 24h"), faults(start + "  life: 99h\n"));
  }

  @Test
  void fleetStoreTakesOneOrSeveralAddressesAndTls() throws IOException {
    String start = "version: 1\nlimits: {rings_mb: 20}\nresume:\n  classes: [a]\n  keys: k\n";
    OperatorConfig one = OperatorConfig.read(file(start + "  claims: {in: fleet, store: '10.0.0.1:7000'}\n"));
    assertEquals(List.of(new java.net.InetSocketAddress("10.0.0.1", 7000)), one.resume().storeAddresses());
    assertEquals(null, one.resume().tls());
    assertEquals(20, one.ringBufferMegabytes());
    OperatorConfig several = OperatorConfig.read(file(start + """
          claims:
            in: fleet
            store: ['10.0.0.1:7000', '10.0.0.2:7000']
            tls: {authority: ca.pem, certificate: proxy.pem, key: proxy.key, name: claims.example}
        """));
    assertEquals(2, several.resume().storeAddresses().size());
    assertEquals(new lemondeal.config.TlsFiles(folder.resolve("ca.pem"), folder.resolve("proxy.pem"),
        folder.resolve("proxy.key"), "claims.example"), several.resume().tls());
    assertEquals(List.of("0:0 resume.claims.tls: certificate and key must be given together; found only certificate"),
        faults(start + "  claims: {in: fleet, store: '1.2.3.4:5', tls: {authority: a, certificate: c}}\n"));
    assertEquals(List.of("0:0 resume.claims.tls: is not allowed with in: memory"),
        faults(start + "  claims: {in: memory, tls: {authority: a}}\n"));
    assertTrue(faults(start + "  claims: {in: fleet, store: []}\n").get(0).contains("resume.claims.store"));
    assertTrue(faults(start + "  claims: {in: fleet, store: ['1.2.3.4:5', there]}\n").get(0)
        .contains("no numeric address:port"));
  }

  @Test
  void consulSectionIsReadWithMappingAndLimits() throws IOException {
    OperatorConfig config = OperatorConfig.read(file("""
        version: 1
        discovery:
          consul:
            agents: ['10.0.0.1:8501', '10.0.0.2:8501']
            service: link
            datacenter: dc2
            consistency: stale
            filter: 'Service.Meta.pool == "a"'
            wait: 20s
            token_file: consul.token
            tls: {authority: ca.pem, name: consul.example}
            address: tagged:lan_ipv4
            zone: {from: node_meta, key: zone}
            cell: {from: tag, key: 'cell='}
            damping: {quiet: 3s, most: 90s}
            guard: {most_lost: 0.3, empty: true}
        """));
    lemondeal.consul.ConsulSettings consul = config.consulServices().get(0).settings();
    assertEquals(2, consul.agents().size());
    assertEquals("dc2", consul.datacenter());
    assertEquals(lemondeal.consul.ConsulSettings.Consistency.STALE, consul.consistency());
    assertEquals(20_000, consul.waitMillis());
    assertEquals(folder.resolve("consul.token"), consul.tokenFile());
    assertEquals("consul.example", consul.tls().name());
    assertEquals(lemondeal.consul.MemberMapping.AddressSource.TAGGED, consul.mapping().address());
    assertEquals("lan_ipv4", consul.mapping().taggedName());
    assertEquals(new lemondeal.consul.MemberMapping.Field(lemondeal.consul.MemberMapping.FieldLocation.TAG, "cell="),
        consul.mapping().cell());
    assertEquals(new lemondeal.membership.Damping.Settings(3_000, 90_000, 300_000), consul.damping());
    assertEquals(500, consul.guard().confirmAfterMillis(1));
    assertEquals(5_000, consul.guard().confirmAfterMillis(0));
    assertEquals(0.3, consul.guard().maxLostShare());
    assertTrue(consul.guard().acceptEmpty());
    assertEquals(null, config.resume());
    String start = "version: 1\ndiscovery:\n  consul:\n    service: link\n";
    assertEquals(List.of("0:0 discovery.consul.agents: 'consul:8500' is no numeric address:port"),
        faults(start + "    agents: ['consul:8500']\n"));
    assertEquals(List.of("0:0 discovery.consul.wait: found 20m; allowed: 1ms to 10m"),
        faults(start + "    agents: ['1.2.3.4:8500']\n    wait: 20m\n"));
    assertEquals(List.of("0:0 discovery.consul.damping.most: found 1000 ms; allowed: at least quiet, 5000 ms"),
        faults(start + "    agents: ['1.2.3.4:8500']\n    damping: {quiet: 5s, most: 1s}\n"));
    assertTrue(faults(start + "    agents: ['1.2.3.4:8500']\n    address: dns\n").get(0)
        .contains("service, node, or tagged:NAME"));
    assertTrue(faults("version: 1\ndiscovery:\n  consul:\n    agents: []\n").get(0)
        .contains("discovery.consul.agents"));
    assertEquals(List.of(
        "0:0 discovery.consul: found no service; allowed: service, or services with the classes of each"),
        faults("version: 1\ndiscovery:\n  consul:\n    agents: ['1.2.3.4:8500']\n"));
    assertEquals(List.of("0:0 discovery.consul.filter: column 14: found 'equals'; allowed: "
        + "'not', 'in', 'is', 'contains', 'matches', '==', '!='"),
        faults(start + "    agents: ['1.2.3.4:8500']\n    filter: Service.Port equals 3\n"));
  }

  @Test
  void eachServiceHasItsClassesAndItsOwnSavedList() throws IOException {
    String start = "version: 1\ndiscovery:\n  consul:\n    agents: ['1.2.3.4:8500']\n";
    OperatorConfig config = OperatorConfig.read(file(start + """
            saved: {file: last.list, most_age: 2h, every: 1s}
            services:
              - {service: link, classes: [chat, order-sync]}
              - {service: feed, classes: [menu-feed], filter: 'Service.Port != 7'}
        """));
    assertEquals(2, config.consulServices().size());
    assertEquals(List.of("chat", "order-sync"), config.consulServices().get(0).classes());
    assertEquals("feed", config.consulServices().get(1).settings().service());
    assertEquals("Service.Port != 7", config.consulServices().get(1).settings().filter());
    assertEquals(new lemondeal.saved.ListFile.Settings(folder.resolve("last.list.feed"), 7_200_000, 1_000),
        config.consulServices().get(1).settings().savedList());
    assertEquals(List.of("0:0 discovery.consul.services: class 'a' is listed twice; allowed: each class once",
        "0:0 discovery.consul.services: service 'x' is listed twice; allowed: each service once"),
        faults(start + "    services: [{service: x, classes: [a]}, {service: x, classes: [a]}]\n"));
  }

  @Test
  void invalidYamlIsReportedWithItsLocation() throws IOException {
    assertEquals(List.of("2:1 duplicate key 'version'"), faults("version: 1\nversion: 1\n"));
    assertTrue(faults("version: [1\nlog: {").get(0).startsWith("2:"), "location of the syntax error");
    assertTrue(faults("").get(0).contains("found null"));
    StringBuilder bomb = new StringBuilder("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
    for (int i = 1; i < 5; i++) {
      bomb.append("a%d: &a%d [%s*a%d]\n".formatted(i, i, ("*a" + (i - 1) + ", ").repeat(9), i - 1));
    }
    assertTrue(faults(bomb.toString()).get(0).contains("more than 20000 values"));
  }

  /** Any content gives either a configuration or faults, and never another exception. */
  @Test
  void garbageIsReportedAsFaults() throws IOException {
    Random random = new Random(41);
    String good = "version: 1\nresume:\n  classes: [a]\n  keys: k\n  life: 20s\n  claims: {in: memory}\n";
    for (int round = 0; round < 400; round++) {
      StringBuilder text = new StringBuilder(good);
      for (int i = random.nextInt(4); i >= 0; i--) {
        text.setCharAt(random.nextInt(text.length()), "{}[]:,&*!|>'\"%@`#- \n\tab1".charAt(random.nextInt(24)));
      }
      Path file = file(text.toString());
      try {
        OperatorConfig.read(file);
      } catch (InvalidFileException e) {
        assertFalse(e.faults().isEmpty());
      }
    }
  }

  @Test
  void keyFileIsReadableByItsOwnerOnly() throws IOException {
    Path file = folder.resolve("keys.yaml");
    KeyRing ring = new KeyRing("a-1", List.of(KeyFile.newKey("a-1"), KeyFile.newKey("b_2")));
    KeyFile.write(file, ring);
    assertEquals("rw-------", PosixFilePermissions.toString(Files.getPosixFilePermissions(file)));
    KeyRing read = KeyFile.read(file);
    assertEquals("a-1", read.presentId());
    for (int i = 0; i < 2; i++) {
      assertTrue(java.util.Arrays.equals(ring.keys().get(i).secret(), read.keys().get(i).secret()));
      assertEquals(ring.keys().get(i).createdAt(), read.keys().get(i).createdAt());
    }
    KeyFile.write(file, ring.withPresentKey("b_2"));
    assertEquals("b_2", KeyFile.read(file).presentId(), "the file is replaced");
    for (String permissions : List.of("rw-r-----", "rw----r--", "rwx------")) {
      Files.setPosixFilePermissions(file, PosixFilePermissions.fromString(permissions));
      assertTrue(assertThrows(InvalidFileException.class, () -> KeyFile.read(file)).getMessage().contains(permissions));
    }
  }

  /** A secret with one wrong character still discloses the rest of it. */
  @Test
  void faultsOfAKeyFileShowNoSecret() throws IOException {
    Path file = folder.resolve("keys.yaml");
    KeyFile.write(file, new KeyRing("a", List.of(KeyFile.newKey("a"))));
    String text = Files.readString(file);
    String secret = text.replaceAll("(?s).*secret: \"(.{40}).*", "$1");
    Files.writeString(file, text.replace(secret, secret + "?"));
    String message = assertThrows(InvalidFileException.class, () -> KeyFile.read(file)).getMessage();
    assertFalse(message.contains(secret.substring(0, 8)), message);
    assertTrue(message.contains("6:13: keys[0].secret: allowed: 44 characters"), message);
  }

  private static final String FLEET = """
      version: 1
      fleet:
        members:
          - {name: p-1, zone: a, address: "127.0.0.1:7801"}
          - {name: p-2, zone: b, address: "127.0.0.1:7802"}
      """;

  @Test
  void fleetSectionIsReadWithDefaults() throws IOException {
    OperatorConfig.Fleet fleet = OperatorConfig.read(file(FLEET)).fleet();
    assertEquals(2_000, fleet.settings().ttlMillis());
    assertEquals(200, fleet.settings().sendIntervalMillis());
    assertEquals("b", fleet.settings().roster().member("p-2").zone());
    assertTrue(fleet.fault("refused").toString().endsWith("operator.yaml:2:1: refused"), fleet.fault("").toString());
    OperatorConfig.Fleet other =
        OperatorConfig.read(file(FLEET + "  name: p-2\n  listen: 127.0.0.1:7900\n  life: 9s\n  tell: 1s\n")).fleet();
    assertEquals("p-2", other.settings().name());
    assertEquals(7900, other.settings().listen().getPort());
    assertEquals(9_000, other.settings().ttlMillis());
    assertEquals(1_000, other.settings().sendIntervalMillis());
  }

  @Test
  void faultsOfTheFleetSectionHaveTheirLocations() throws IOException {
    assertEquals(List.of("6:9 fleet.life: found 1000 ms; allowed: at least 1500 ms, and 5 times fleet.tell, 200 ms"),
        faults(FLEET + "  life: 1s\n"));
    assertEquals(List.of("3:3 fleet.life: found 2000 ms; allowed: at least 1500 ms, and 5 times fleet.tell, 500 ms"),
        faults(FLEET + "  tell: 500ms\n"));
    assertEquals(List.of("6:9 fleet.name: found 'p-3'; allowed: one of fleet.members"),
        faults(FLEET + "  name: p-3\n"));
    assertEquals(List.of("5:14 fleet.members[1].name: 'p-1' is listed twice; allowed: each name once"),
        faults(FLEET.replace("name: p-2", "name: p-1")));
    assertEquals(List.of("5:37 fleet.members[1].address: 127.0.0.1:7801 is listed twice; allowed: each address once"),
        faults(FLEET.replace("7802", "7801")));
    assertEquals(List.of("5:37 fleet.members[1].address: found [::1]:7802; allowed: a numeric IPv4 address:port"),
        faults(FLEET.replace("127.0.0.1:7802", "[::1]:7802")));
    assertEquals(List.of("6:11 fleet.listen: 'here:1' is no numeric address:port"),
        faults(FLEET + "  listen: here:1\n"));
    assertEquals(1, faults(FLEET.replace("zone: b, ", "")).size());
    assertEquals(1, faults("version: 1\nfleet: {members: [{name: a, zone: a, address: \"127.0.0.1:1\"}]}\n").size());
  }
}
