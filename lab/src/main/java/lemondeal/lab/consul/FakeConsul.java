package lemondeal.lab.consul;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import com.sun.net.httpserver.HttpsConfigurator;
import com.sun.net.httpserver.HttpsParameters;
import com.sun.net.httpserver.HttpsServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import lemondeal.consul.filter.Filter;
import lemondeal.consul.filter.FilterException;
import lemondeal.consul.filter.Filters;

/**
 * A fake of Consul's HTTP API on loopback, written from its public documentation: the health and catalogue endpoints
 * with blocking queries, filters and their headers, and the agent endpoints that register services and set checks. Its
 * data is in {@link Catalogue}; {@link ResponseMode} selects a fault.
 */
public final class FakeConsul implements AutoCloseable {
  private static final long DEFAULT_WAIT_MILLIS = 300_000;
  private static final long MAX_WAIT_MILLIS = 600_000;
  private static final int FLOOD_BYTES = 70 << 20;
  private static final ObjectMapper JSON = new ObjectMapper();
  /** Node of the agent that the agent endpoints represent. */
  private static final String AGENT_NODE = "agent-node";

  /** How calls are answered. */
  public enum ResponseMode {
    ANSWERS(true),
    /** Leaves each call unanswered until its caller gives up. */
    SILENT(false),
    /** Answers every call with status 500. */
    FAILS(false),
    /** Answers every call with status 429. */
    TOO_OFTEN(false),
    /** Answers with the header for no known leader. */
    NO_LEADER(true),
    /** Answers as a server whose last contact with the leader was a minute ago. */
    STALE(true),
    /** Answers with an empty list. */
    EMPTY(true),
    /** Omits every second instance. */
    HALF(true),
    /** Returns from blocking queries at once without a change, as Consul may. */
    HURRIES(false),
    /** Sends half of the answer and closes the connection. */
    CUTS(true),
    /** Sends half of the answer and keeps the connection open. */
    STALLS(true),
    /** Closes the connection without an answer. */
    RESETS(false),
    /** Answers with text that is not JSON. */
    GARBLES(true),
    /** Answers with 100,000 nested JSON arrays. */
    NESTS(true),
    /** Answers with 70 MB. */
    FLOODS(true);

    /** Whether a blocking query waits for a change before this mode applies. */
    private final boolean blocksQueries;

    ResponseMode(boolean blocksQueries) {
      this.blocksQueries = blocksQueries;
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
    Thread thread = new Thread(work, "consul-stand-in");
    thread.setDaemon(true);
    return thread;
  });
  private final Catalogue catalogue = new Catalogue();
  private final AtomicLong queryCount = new AtomicLong();
  private volatile ResponseMode responseMode = ResponseMode.ANSWERS;
  private volatile Predicate<String> tokenFilter = token -> true;
  private volatile boolean closed;

  /** Starts on a free loopback port with plain HTTP. */
  public FakeConsul() throws IOException {
    this(null);
  }

  /** Starts on a free loopback port with HTTPS; a null context means plain HTTP. */
  public FakeConsul(SSLContext tls) throws IOException {
    InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    if (tls == null) {
      server = HttpServer.create(loopback, 64);
    } else {
      HttpsServer https = HttpsServer.create(loopback, 64);
      https.setHttpsConfigurator(new OptionalClientCertificates(tls));
      server = https;
    }
    server.setExecutor(threads);
    server.createContext("/v1/health/service/", exchange -> query(exchange, this::healthEntries));
    server.createContext("/v1/health/state/", exchange -> query(exchange, (name, query, mode) ->
        catalogue.checkEntries(name)));
    server.createContext("/v1/catalog/service/", exchange -> query(exchange, (name, query, mode) ->
        catalogue.catalogueEntries(name)));
    server.createContext("/v1/catalog/nodes", exchange ->
        query(exchange, (name, query, mode) -> catalogue.nodeEntries()));
    server.createContext("/v1/status/leader", exchange -> answerAgentCall(exchange, () -> "\"127.0.0.1:8300\""));
    server.createContext("/v1/agent/", exchange -> answerAgentCall(exchange, () -> executeAgentCall(exchange)));
    server.start();
  }

  /** Requests a client certificate without requiring one; the test's trust manager decides whether it must be there. */
  private static final class OptionalClientCertificates extends HttpsConfigurator {
    OptionalClientCertificates(SSLContext context) {
      super(context);
    }

    @Override
    public void configure(HttpsParameters parameters) {
      SSLParameters sslParameters = getSSLContext().getDefaultSSLParameters();
      sslParameters.setWantClientAuth(true);
      parameters.setSSLParameters(sslParameters);
    }
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** Returns the data, which the test may change. */
  public Catalogue catalogue() {
    return catalogue;
  }

  /** Switches the mode; wakes waiting calls, which are answered in the new mode. */
  public void setResponseMode(ResponseMode newMode) {
    responseMode = newMode;
    catalogue.wakeWaiters();
  }

  /** Answers only calls whose {@code X-Consul-Token} passes the filter; others get 403, as from a denying ACL. */
  public void setTokenFilter(Predicate<String> newFilter) {
    tokenFilter = newFilter;
  }

  /** Returns the number of calls so far to endpoints with blocking queries. */
  public long queryCount() {
    return queryCount.get();
  }

  // ---- Queries ----------------------------------------------------------------------------------

  /** Reads the answer from the catalogue once a blocking query ends. */
  private interface Lookup {
    Catalogue.Snapshot perform(String name, Map<String, String> query, ResponseMode mode) throws FilterException;
  }

  private Catalogue.Snapshot healthEntries(String name, Map<String, String> query, ResponseMode mode)
      throws FilterException {
    int[] position = new int[1];
    boolean passing = query.containsKey("passing") && !query.get("passing").equals("false");
    Catalogue.Snapshot snapshot = catalogue.healthEntries(name,
        instance -> (mode != ResponseMode.HALF || position[0]++ % 2 == 0)
        && (!passing || instance.worstStatus().equals("passing"))
        && (!query.containsKey("tag") || instance.tags.contains(query.get("tag"))));
    if (!query.containsKey("filter")) {
      return snapshot;
    }
    Filter filter = Filters.parse(query.get("filter"));
    Filters.check(filter);
    ArrayNode matching = JSON.createArrayNode();
    for (JsonNode entry : snapshot.json()) {
      if (FilterEvaluator.matches(filter, entry)) {
        matching.add(entry);
      }
    }
    return new Catalogue.Snapshot(matching, snapshot.index());
  }

  private void query(HttpExchange exchange, Lookup lookup) throws IOException {
    queryCount.incrementAndGet();
    try (exchange) {
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      if (!tokenFilter.test(token(exchange, query))) {
        send(exchange, 403, "Permission denied: token with AccessorID 'anonymous' lacks permission", 0, responseMode);
      } else if (!query.getOrDefault("dc", Catalogue.DATACENTER).equals(Catalogue.DATACENTER)) {
        send(exchange, 500, "No path to datacenter", 0, responseMode);
      } else if (query.containsKey("index") && !query.get("index").matches("[0-9]{1,18}")) {
        send(exchange, 400, "Invalid index", 0, responseMode);
      } else {
        answerQuery(exchange, query, lookup);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void answerQuery(HttpExchange exchange, Map<String, String> query, Lookup lookup)
      throws IOException, InterruptedException {
    String path = exchange.getRequestURI().getPath();
    String name = path.substring(path.lastIndexOf('/') + 1);
    awaitChange(path.contains("/service/") ? name : "", query);
    ResponseMode mode = responseMode;
    Catalogue.Snapshot snapshot;
    try {
      snapshot = lookup.perform(name, query, mode);
    } catch (FilterException e) {
      send(exchange, 400, "Failed to create boolean expression evaluator: " + e.getMessage(), 0, mode);
      return;
    }
    respond(exchange, mode, snapshot);
  }

  /** Returns the token from the header, or from the query as older clients send it; null if there is none. */
  private static String token(HttpExchange exchange, Map<String, String> query) {
    String header = exchange.getRequestHeaders().getFirst("X-Consul-Token");
    return header != null ? header : query.get("token");
  }

  private void awaitChange(String service, Map<String, String> query) throws InterruptedException {
    ResponseMode initialMode = responseMode;
    if (initialMode.blocksQueries && query.containsKey("index")) {
      long wait = Math.min(MAX_WAIT_MILLIS, query.containsKey("wait") ? durationMillis(query.get("wait"))
          : DEFAULT_WAIT_MILLIS);
      catalogue.awaitChange(service, Long.parseLong(query.get("index")), wait + wait / 16,
          () -> responseMode != initialMode || closed);
    }
  }

  private void respond(HttpExchange exchange, ResponseMode mode, Catalogue.Snapshot snapshot)
      throws IOException, InterruptedException {
    byte[] body = JSON.writeValueAsBytes(snapshot.json());
    switch (mode) {
      case SILENT -> holdCall();
      case FAILS -> send(exchange, 500, "rpc error making call: No cluster leader", 0, mode);
      case TOO_OFTEN -> send(exchange, 429, "rate limit exceeded", 0, mode);
      case RESETS -> {
        // Closing the exchange before any header ends the caller's connection.
      }
      case CUTS, STALLS -> {
        exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(snapshot.index()));
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body, 0, body.length / 2);
        exchange.getResponseBody().flush();
        if (mode == ResponseMode.STALLS) {
          holdCall();
        }
      }
      case EMPTY -> send(exchange, 200, "[]", snapshot.index(), mode);
      case GARBLES -> send(exchange, 200, "<html>502 gateway</html>", snapshot.index(), mode);
      case NESTS -> send(exchange, 200, "[".repeat(100_000), snapshot.index(), mode);
      case FLOODS -> flood(exchange, snapshot.index());
      default -> send(exchange, 200, body, snapshot.index(), mode);
    }
  }

  /** Holds the call until the mode changes, the fake is closed, or the longest wait is over. */
  private void holdCall() throws InterruptedException {
    ResponseMode initialMode = responseMode;
    catalogue.awaitCondition(MAX_WAIT_MILLIS, () -> closed || responseMode != initialMode);
  }

  private static void flood(HttpExchange exchange, long index) throws IOException {
    byte[] spaces = new byte[1 << 16];
    Arrays.fill(spaces, (byte) ' ');
    exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(index));
    exchange.sendResponseHeaders(200, 0);
    try (OutputStream out = exchange.getResponseBody()) {
      for (int sent = 0; sent < FLOOD_BYTES; sent += spaces.length) {
        out.write(spaces);
      }
      out.write("[]".getBytes(StandardCharsets.US_ASCII));
    }
  }

  private static void send(HttpExchange exchange, int status, String body, long index, ResponseMode mode)
      throws IOException {
    send(exchange, status, body.getBytes(StandardCharsets.UTF_8), index, mode);
  }

  private static void send(HttpExchange exchange, int status, byte[] body, long index, ResponseMode mode)
      throws IOException {
    exchange.getResponseHeaders().set("Content-Type", status == 200 ? "application/json" : "text/plain");
    if (index > 0) {
      exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(index));
    }
    exchange.getResponseHeaders().set("X-Consul-KnownLeader", Boolean.toString(mode != ResponseMode.NO_LEADER));
    exchange.getResponseHeaders().set("X-Consul-LastContact", mode == ResponseMode.STALE ? "60000" : "0");
    exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? pair : pair.substring(0, equals);
        String value = equals < 0 ? "" : URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8);
        query.put(name, value);
      }
    }
    return query;
  }

  /** Parses Consul's durations: a number followed by ms, s, m or h. */
  private static long durationMillis(String text) {
    String digits = text.replaceAll("[^0-9]", "");
    long number = digits.isEmpty() ? 0 : Long.parseLong(digits);
    return text.endsWith("ms") ? number : text.endsWith("s") ? number * 1000 : text.endsWith("m") ? number * 60_000
        : text.endsWith("h") ? number * 3_600_000 : number;
  }

  // ---- The agent --------------------------------------------------------------------------------

  /** An agent call; returns its response body, or null if what it names does not exist. */
  private interface AgentCall {
    String execute() throws IOException;
  }

  private void answerAgentCall(HttpExchange exchange, AgentCall call) throws IOException {
    try (exchange) {
      if (!tokenFilter.test(token(exchange, query(exchange.getRequestURI().getRawQuery())))) {
        send(exchange, 403, "Permission denied", 0, responseMode);
        return;
      }
      String result = call.execute();
      send(exchange, result == null ? 404 : 200, result == null ? "unknown" : result, 0, responseMode);
    }
  }

  private String executeAgentCall(HttpExchange exchange) throws IOException {
    String[] path = exchange.getRequestURI().getPath().substring("/v1/agent/".length()).split("/", 3);
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    String operation = path.length < 2 ? path[0] : path[0] + "/" + path[1];
    String name = path.length < 3 ? "" : path[2];
    boolean found = switch (operation) {
      case "service/register" -> register(JSON.readTree(exchange.getRequestBody()));
      case "service/deregister" -> catalogue.deregister(Catalogue.key(AGENT_NODE, name));
      case "service/maintenance" -> catalogue.setMaintenance(Catalogue.key(AGENT_NODE, name),
          query.getOrDefault("enable", "").equals("true"));
      case "check/pass" -> setCheckStatus(name, "passing");
      case "check/warn" -> setCheckStatus(name, "warning");
      case "check/fail" -> setCheckStatus(name, "critical");
      default -> false;
    };
    return found ? "" : null;
  }

  private boolean register(JsonNode body) {
    String name = body.path("Name").asText();
    // Consul's JSON keys are case-insensitive, and client libraries rely on that.
    String id = body.has("ID") ? body.get("ID").asText() : body.path("Id").asText(name);
    String key = catalogue.register(AGENT_NODE, "127.0.0.1", name, id, body.path("Port").asInt());
    return catalogue.update(key, instance -> {
      body.path("Tags").forEach(tag -> instance.addTag(tag.asText()));
      body.path("Meta").fields().forEachRemaining(meta ->
          instance.putServiceMeta(meta.getKey(), meta.getValue().asText()));
      instance.setAddress(body.path("Address").asText(""));
      if (body.path("Weights").isObject()) {
        instance.setPassingWeight(body.path("Weights").path("Passing").asInt(1));
        instance.setWarningWeight(body.path("Weights").path("Warning").asInt(1));
      }
    });
  }

  private boolean setCheckStatus(String check, String status) {
    String key = Catalogue.key(AGENT_NODE, check.substring(check.indexOf(':') + 1));
    return catalogue.has(key) && catalogue.setCheck(key, check, status);
  }

  @Override
  public void close() {
    closed = true;
    catalogue.wakeWaiters();
    server.stop(0);
    threads.shutdownNow();
    try {
      threads.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
