package lemondeal.lab.consul;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.io.InputStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import lemondeal.consul.HealthResponseParser;
import lemondeal.consul.MemberMapping;
import lemondeal.membership.Health;
import lemondeal.membership.Member;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.kiwiproject.consul.AgentClient;
import org.kiwiproject.consul.Consul;
import org.kiwiproject.consul.ConsulException;
import org.kiwiproject.consul.HealthClient;
import org.kiwiproject.consul.model.ConsulResponse;
import org.kiwiproject.consul.model.State;
import org.kiwiproject.consul.model.agent.ImmutableRegistration;
import org.kiwiproject.consul.model.catalog.ImmutableServiceWeights;
import org.kiwiproject.consul.model.health.HealthCheck;
import org.kiwiproject.consul.model.health.ServiceHealth;
import org.kiwiproject.consul.option.ConsistencyMode;
import org.kiwiproject.consul.option.ImmutableQueryOptions;
import org.kiwiproject.consul.option.QueryOptions;

/**
 * Verifies the fake Consul with an independent client library, which registers services, sets checks and makes every
 * kind of query that the proxy makes. Compares at each step what the library and the proxy's parser read.
 */
@Timeout(60)
class FakeConsulTest {
  private FakeConsul consul;
  private Consul library;
  private AgentClient agent;
  private HealthClient health;

  @BeforeEach
  void start() throws Exception {
    consul = new FakeConsul();
    library = Consul.builder().withUrl("http://127.0.0.1:" + consul.address().getPort()).withPing(true)
        .withReadTimeoutMillis(20_000).build();
    agent = library.agentClient();
    health = library.healthClient();
  }

  @AfterEach
  void end() {
    library.destroy();
    consul.close();
  }

  private void register(String id, int port, String... tags) {
    agent.register(ImmutableRegistration.builder().name("link").id(id).port(port).addTags(tags)
        .putMeta("pool", port % 2 == 0 ? "even" : "odd")
        .serviceWeights(ImmutableServiceWeights.builder().passing(10).warning(2).build()).build());
  }

  /** Returns what the proxy's parser and mapping read from the answer to a query. */
  private Map<String, String> proxySees(String query) throws Exception {
    HttpResponse<InputStream> answer = HttpClient.newHttpClient().send(HttpRequest.newBuilder(URI.create(
        "http://127.0.0.1:" + consul.address().getPort() + "/v1/health/service/link" + query))
        .timeout(Duration.ofSeconds(10)).build(), HttpResponse.BodyHandlers.ofInputStream());
    assertEquals(200, answer.statusCode());
    Map<String, String> seen = new TreeMap<>();
    new HealthResponseParser(1000).read(answer.body(), entry -> {
      try {
        Member member = MemberMapping.DEFAULT.member(entry);
        seen.put(member.id(), member.health() + " " + member.address().getPort() + " " + member.passingWeight() + "/"
            + member.warningWeight());
      } catch (MemberMapping.UnusableEntryException e) {
        throw new AssertionError(e);
      }
    });
    return seen;
  }

  private static Map<String, String> librarySees(List<ServiceHealth> answer) {
    Map<String, String> seen = new TreeMap<>();
    for (ServiceHealth entry : answer) {
      List<String> statuses = entry.getChecks().stream().map(HealthCheck::getStatus).toList();
      boolean maintenance = entry.getChecks().stream().anyMatch(check -> check.getCheckId().contains("_maintenance"));
      Health worst = maintenance ? Health.MAINTENANCE : statuses.contains("critical") ? Health.CRITICAL
          : statuses.contains("warning") ? Health.WARNING : Health.PASSING;
      seen.put(entry.getNode().getNode() + "/" + entry.getService().getId(), worst + " "
          + entry.getService().getPort() + " " + entry.getService().getWeights().orElseThrow().getPassing() + "/"
          + entry.getService().getWeights().orElseThrow().getWarning());
    }
    return seen;
  }

  private void assertBothSee(String... expected) throws Exception {
    Map<String, String> library = librarySees(health.getAllServiceInstances("link").getResponse());
    assertEquals(library, proxySees(""));
    assertEquals(List.of(expected), library.entrySet().stream().map(entry ->
        entry.getKey() + " " + entry.getValue()).toList());
  }

  @Test
  void libraryAndProxyReadTheSameState() throws Exception {
    assertEquals("127.0.0.1:8300", library.statusClient().getLeader());
    register("a", 7001, "primary", "zone=a");
    register("b", 7002);
    assertBothSee("agent-node/a PASSING 7001 10/2", "agent-node/b PASSING 7002 10/2");
    agent.fail("a");
    assertBothSee("agent-node/a CRITICAL 7001 10/2", "agent-node/b PASSING 7002 10/2");
    agent.warn("a");
    assertBothSee("agent-node/a WARNING 7001 10/2", "agent-node/b PASSING 7002 10/2");
    agent.pass("a");
    agent.toggleMaintenanceMode("b", true);
    assertBothSee("agent-node/a PASSING 7001 10/2", "agent-node/b MAINTENANCE 7002 10/2");
    assertEquals(List.of("a"), health.getHealthyServiceInstances("link").getResponse().stream()
        .map(entry -> entry.getService().getId()).toList(), "only passing instances");
    agent.toggleMaintenanceMode("b", false);
    consul.catalogue().setCheck("agent-node/a", "serfHealth", "critical");
    assertBothSee("agent-node/a CRITICAL 7001 10/2", "agent-node/b PASSING 7002 10/2");
    assertEquals(List.of("serfHealth"), health.getChecksByState(State.FAIL).getResponse().stream()
        .map(HealthCheck::getCheckId).toList());
    agent.deregister("b");
    assertBothSee("agent-node/a CRITICAL 7001 10/2");
    assertEquals(List.of("agent-node"), library.catalogClient().getNodes().getResponse().stream()
        .map(node -> node.getNode()).toList());
    var listed = library.catalogClient().getService("link").getResponse().get(0);
    assertEquals(7001, listed.getServicePort());
    assertEquals(List.of("primary", "zone=a"), listed.getServiceTags());
    assertEquals(Map.of("pool", "odd"), listed.getServiceMeta());
    assertEquals(List.of(), health.getAllServiceInstances("nobody").getResponse());
  }

  /** A blocking query returns on a change, or after its wait without one; the index never decreases. */
  @Test
  void blockingQueriesWaitForTheChange() throws Exception {
    register("a", 7001);
    BigInteger index = health.getAllServiceInstances("link").getIndex();
    CompletableFuture<ConsulResponse<List<ServiceHealth>>> waiting = CompletableFuture.supplyAsync(() ->
        health.getAllServiceInstances("link", QueryOptions.blockSeconds(15, index).build()));
    agent.fail("a");
    ConsulResponse<List<ServiceHealth>> changed = waiting.get(10, TimeUnit.SECONDS);
    assertTrue(changed.getIndex().compareTo(index) > 0);
    assertTrue(changed.isKnownLeader());
    assertEquals(0, changed.getLastContact());
    assertEquals(Health.CRITICAL + " 7001 10/2", librarySees(changed.getResponse()).get("agent-node/a"));
    register("other-service-does-not-count", 7003);
    ConsulResponse<List<ServiceHealth>> same = health.getAllServiceInstances("link",
        ImmutableQueryOptions.builder().from(QueryOptions.blockSeconds(1, changed.getIndex()).build()).build());
    assertTrue(same.getIndex().compareTo(changed.getIndex()) >= 0);
    BigInteger last = same.getIndex();
    assertEquals(last, health.getAllServiceInstances("link", QueryOptions.blockSeconds(1, last).build()).getIndex(),
        "the query timed out without a change");
  }

  /** Filter expressions select the same entries through the library and through the proxy. */
  @Test
  void filtersSelectTheSameEntries() throws Exception {
    register("a", 7001, "primary");
    register("b", 7002);
    register("c", 7003, "primary", "old");
    agent.fail("c");
    Map<String, String> expected = new TreeMap<>(Map.of("Service.Meta.pool == odd", "ac",
        "primary in Service.Tags and not (\"old\" in Service.Tags)", "a", "Service.Tags is empty", "b",
        "Checks.Status == critical", "c", "Service.Port != 7002 or Service.ID matches \"^b\"", "abc",
        "Service.Meta contains pool", "abc", "Service.Meta.none == x", "", "Service.Meta.none != x", "abc"));
    for (Map.Entry<String, String> filterAndIds : expected.entrySet()) {
      QueryOptions options = ImmutableQueryOptions.builder().filter(filterAndIds.getKey()).build();
      List<ServiceHealth> answer = health.getAllServiceInstances("link", options).getResponse();
      assertEquals(filterAndIds.getValue(), answer.stream().map(entry -> entry.getService().getId()).sorted()
          .collect(Collectors.joining()), filterAndIds.getKey());
      assertEquals(librarySees(answer), proxySees("?filter="
          + URLEncoder.encode(filterAndIds.getKey(), StandardCharsets.UTF_8)));
    }
    ConsulException refused = assertThrows(ConsulException.class, () -> health.getAllServiceInstances("link",
        ImmutableQueryOptions.builder().filter("Service.Nothing == x").build()));
    assertEquals(400, refused.getCode());
  }

  /** Consistency modes, datacenters and tokens are accepted and refused as by Consul. */
  @Test
  void refusalsMatchConsul() throws Exception {
    register("a", 7001);
    for (ConsistencyMode mode : List.of(ConsistencyMode.DEFAULT, ConsistencyMode.STALE, ConsistencyMode.CONSISTENT)) {
      assertEquals(1, health.getAllServiceInstances("link",
          ImmutableQueryOptions.builder().consistencyMode(mode).build())
          .getResponse().size());
    }
    assertEquals(Optional.of(500), errorCode(ImmutableQueryOptions.builder().datacenter("mars").build()));
    consul.setTokenFilter("t"::equals);
    assertEquals(Optional.of(403), errorCode(ImmutableQueryOptions.builder().build()));
    assertEquals(Optional.empty(), errorCode(ImmutableQueryOptions.builder().token("t").build()));
    consul.setTokenFilter(token -> true);
    List<Optional<Integer>> codes = new ArrayList<>();
    for (FakeConsul.ResponseMode mode : List.of(FakeConsul.ResponseMode.FAILS, FakeConsul.ResponseMode.TOO_OFTEN)) {
      consul.setResponseMode(mode);
      codes.add(errorCode(ImmutableQueryOptions.builder().build()));
    }
    assertEquals(List.of(Optional.of(500), Optional.of(429)), codes);
    consul.setResponseMode(FakeConsul.ResponseMode.NO_LEADER);
    assertEquals(false, health.getAllServiceInstances("link").isKnownLeader());
    consul.setResponseMode(FakeConsul.ResponseMode.STALE);
    assertEquals(60_000, health.getAllServiceInstances("link").getLastContact());
  }

  private Optional<Integer> errorCode(QueryOptions options) {
    try {
      health.getAllServiceInstances("link", options);
      return Optional.empty();
    } catch (ConsulException e) {
      return Optional.of(e.getCode());
    }
  }
}
