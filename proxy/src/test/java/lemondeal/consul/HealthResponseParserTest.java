package lemondeal.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemondeal.codec.SplitInput;
import lemondeal.codec.ProtocolException;
import lemondeal.membership.Health;
import lemondeal.membership.Member;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Parsing of Consul's answers; any malformed answer is rejected with a reason. */
class HealthResponseParserTest {
  /** One entry in the format of Consul's documentation, with fields that the proxy does not use among those it does. */
  static String entry(String node, String id, int port, String checks) {
    return """
        {"Node":{"ID":"40e4a748","Node":"%s","Address":"10.1.10.12","Datacenter":"dc1",
          "TaggedAddresses":{"lan":"10.1.10.12","wan":"10.1.10.12"},"Meta":{"zone":"b","rack":"r7"}},
         "Service":{"ID":"%s","Service":"link","Tags":["primary","zone=a","v1"],"Address":"",
          "TaggedAddresses":{"lan_ipv4":{"Address":"10.1.10.13","Port":%d},"wan":{"Address":"198.18.0.1","Port":80}},
          "Meta":{"model":"small","cell":"3","nested":"x"},"Port":%d,"Weights":{"Passing":10,"Warning":1},
          "EnableTagOverride":false,"Proxy":{"Upstreams":[{"DestinationName":"db","Config":{"a":[1,2,{"b":null}]}}]},
          "Connect":{},"Namespace":"default","Partition":"default","CreateIndex":7,"ModifyIndex":9},
         "Checks":[%s]}""".formatted(node, id, port, port, checks);
  }

  static String check(String id, String service, String status) {
    return """
        {"Node":"n","CheckID":"%s","Name":"%s","Status":"%s","Notes":"","Output":"HTTP GET: 200 OK",
         "ServiceID":"%s","ServiceName":"link","ServiceTags":[],"Type":"http","Definition":{},"CreateIndex":3}"""
        .formatted(id, id, status, service);
  }

  private static final String PASSING_CHECKS = check("serfHealth", "", "passing") + ","
      + check("service:web", "web", "passing");

  private static List<CatalogEntry> read(byte[] body) throws ProtocolException {
    return read(body, 1000);
  }

  private static List<CatalogEntry> read(byte[] body, int maxEntries) throws ProtocolException {
    List<CatalogEntry> entries = new ArrayList<>();
    try {
      new HealthResponseParser(maxEntries).read(new ByteArrayInputStream(body), entries::add);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return entries;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Example
  void parsesAnAnswerAndIgnoresUnusedFields() throws ProtocolException {
    List<CatalogEntry> entries = read(bytes("[" + entry("n1", "web", 8080, PASSING_CHECKS) + ","
        + entry("n2", "web", 8081, check("serfHealth", "", "critical")) + "]"));
    assertEquals(2, entries.size());
    CatalogEntry first = entries.get(0);
    assertEquals("n1", first.node());
    assertEquals("10.1.10.12", first.nodeAddress());
    assertEquals(Map.of("zone", "b", "rack", "r7"), first.nodeMeta());
    assertEquals(List.of("primary", "zone=a", "v1"), first.tags());
    assertEquals("10.1.10.13:8080", first.taggedAddresses().get("lan_ipv4"));
    assertEquals(10, first.passingWeight());
    assertEquals(7, first.createIndex());
    assertEquals(2, first.checks().size());
    assertEquals(new CatalogEntry.Check("serfHealth", "", "critical"), entries.get(1).checks().get(0));
    assertEquals(List.of(), read(bytes("[]")));
  }

  /** Consul omits empty fields or sets them to null; both are treated as empty. */
  @Example
  void nullsAndAbsentFieldsAreEmpty() throws ProtocolException {
    CatalogEntry entry = read(bytes("""
        [{"Node":{"Node":"n1","Address":"10.0.0.1","Meta":null},
          "Service":{"ID":"a","Port":1,"Tags":null,"Meta":null,"Weights":null,"TaggedAddresses":null},"Checks":null}]
        """)).get(0);
    assertEquals(List.of(), entry.tags());
    assertEquals(1, entry.passingWeight());
    assertEquals(List.of(), entry.checks());
  }

  /** An answer truncated at any point is rejected as a whole. */
  @Property(seed = "11", tries = 300)
  void truncatedAnswerIsRejected(@ForAll @IntRange(min = 0, max = 2000) int length) {
    String intact = "[" + entry("n1", "web", 8080, PASSING_CHECKS) + ","
        + entry("n2", "api", 9090, PASSING_CHECKS) + "]";
    String truncated = intact.substring(0, Math.min(length, intact.length() - 1));
    ProtocolException exception = assertThrows(ProtocolException.class, () -> read(bytes(truncated)));
    assertFalse(exception.getMessage().isEmpty());
  }

  /** An answer corrupted at any point is either parsed or rejected with a reason; nothing else is thrown. */
  @Property(seed = "12", tries = 500)
  void corruptAnswerIsRejectedWithAReason(@ForAll long seed) {
    String intact = "[" + entry("n1", "web", 8080, PASSING_CHECKS) + "]";
    SplitInput.feedDamaged(intact, seed, new SplitInput.Parser() {
      private final ByteArrayOutputStream received = new ByteArrayOutputStream();

      @Override
      public void parse(java.nio.ByteBuffer piece) throws ProtocolException {
        byte[] part = new byte[piece.remaining()];
        piece.duplicate().get(part);
        received.writeBytes(part);
        if (received.size() == intact.length()) {
          read(received.toByteArray());
        }
      }
    });
  }

  @Example
  void hostileAnswersAreRejectedEarly() {
    // Below an unused field, where only the depth limit applies.
    String deep = "[{\"Extra\":" + "[".repeat(5000) + "]".repeat(5000) + "}]";
    assertTrue(assertThrows(ProtocolException.class, () -> read(bytes(deep))).getMessage().contains("depth"));
    String longText = "[{\"Node\":{\"Node\":\"" + "x".repeat(100_000) + "\"}}]";
    assertThrows(ProtocolException.class, () -> read(bytes(longText)));
    String wrongType = "[" + entry("n1", "web", 8080, PASSING_CHECKS).replace("\"Port\":8080,\"Weights\"",
        "\"Port\":\"8080\",\"Weights\"") + "]";
    assertTrue(assertThrows(ProtocolException.class, () -> read(bytes(wrongType))).getMessage()
        .contains("Service.Port"));
    assertThrows(ProtocolException.class, () -> read(bytes("<html>502 Bad Gateway</html>")));
    assertThrows(ProtocolException.class, () -> read(bytes("{\"error\":\"no\"}")));
    assertThrows(ProtocolException.class, () -> read(bytes("[] []")));
    String badStatus = "[" + entry("n1", "web", 8080, check("serfHealth", "", "maybe")) + "]";
    assertThrows(ProtocolException.class, () -> read(bytes(badStatus)));
    String many = "[" + String.join(",", java.util.Collections.nCopies(3, entry("n1", "web", 1, PASSING_CHECKS))) + "]";
    assertTrue(assertThrows(ProtocolException.class, () -> read(bytes(many), 2)).getMessage()
        .contains("more than 2"));
  }

  // ---- The mapping ------------------------------------------------------------------------------

  private static CatalogEntry readOne(String checks) throws ProtocolException {
    return read(bytes("[" + entry("n1", "web", 8080, checks) + "]")).get(0);
  }

  /** The table of docs/CONSUL.md: the worst check counts, with maintenance first. */
  @Example
  void healthFollowsTheWorstCheck() throws ProtocolException {
    assertEquals(Health.PASSING, MemberMapping.health(readOne(PASSING_CHECKS)));
    assertEquals(Health.WARNING, MemberMapping.health(readOne(PASSING_CHECKS + "," + check("disk", "web", "warning"))));
    assertEquals(Health.CRITICAL, MemberMapping.health(readOne(check("service:web", "web", "critical"))));
    assertEquals(Health.CRITICAL, MemberMapping.health(readOne(check("serfHealth", "", "critical"))),
        "the node failed or is leaving");
    assertEquals(Health.MAINTENANCE,
        MemberMapping.health(readOne(PASSING_CHECKS + "," + check("_node_maintenance", "", "critical"))));
    assertEquals(Health.MAINTENANCE,
        MemberMapping.health(readOne(check("_service_maintenance:web", "web", "critical") + ","
            + check("x", "web", "critical"))));
    assertEquals(Health.PASSING,
        MemberMapping.health(readOne(PASSING_CHECKS + "," + check("service:other", "other", "critical"))),
        "another service's check on the same node");
  }

  @Example
  void fieldsAndAddressesFollowTheMapping() throws Exception {
    MemberMapping mapping = new MemberMapping(MemberMapping.AddressSource.SERVICE, null,
        new MemberMapping.Field(MemberMapping.FieldLocation.TAG, "zone="),
        new MemberMapping.Field(MemberMapping.FieldLocation.SERVICE_META, "model"),
        new MemberMapping.Field(MemberMapping.FieldLocation.SERVICE_META, "cell"));
    Member member = mapping.member(readOne(PASSING_CHECKS));
    assertEquals("n1/web", member.id());
    assertEquals("a", member.zone());
    assertEquals("small", member.model());
    assertEquals(3, member.cell());
    assertEquals(new InetSocketAddress("10.1.10.12", 8080), member.address(),
        "the node's address if the service has none");
    MemberMapping byNode = new MemberMapping(MemberMapping.AddressSource.NODE, null,
        new MemberMapping.Field(MemberMapping.FieldLocation.NODE_META, "zone"), null, null);
    assertEquals("b", byNode.member(readOne(PASSING_CHECKS)).zone());
    MemberMapping tagged = new MemberMapping(MemberMapping.AddressSource.TAGGED, "lan_ipv4", null, null, null);
    assertEquals(new InetSocketAddress("10.1.10.13", 8080), tagged.member(readOne(PASSING_CHECKS)).address());
    MemberMapping missing = new MemberMapping(MemberMapping.AddressSource.TAGGED, "lan_ipv6", null, null, null);
    assertThrows(MemberMapping.UnusableEntryException.class, () -> missing.member(readOne(PASSING_CHECKS)));
    CatalogEntry named = read(bytes("[" + entry("n1", "web", 8080, PASSING_CHECKS)
        .replace("\"Address\":\"\",", "\"Address\":\"web.service.consul\",") + "]")).get(0);
    assertTrue(assertThrows(MemberMapping.UnusableEntryException.class, () -> MemberMapping.DEFAULT.member(named))
        .getMessage().contains("no numeric address"), "host names are not resolved");
  }

  /** A service id is unique only within its node: the same id on two nodes means two servers. */
  @Example
  void theSameServiceIdOnTwoNodesIsTwoServers() throws Exception {
    List<CatalogEntry> two = read(bytes("[" + entry("n1", "web", 8080, PASSING_CHECKS) + ","
        + entry("n2", "web", 8080, PASSING_CHECKS) + "]"));
    assertFalse(MemberMapping.DEFAULT.member(two.get(0)).id().equals(MemberMapping.DEFAULT.member(two.get(1)).id()));
  }
}
