package lemondeal.lab.consul;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import com.sun.net.httpserver.HttpsConfigurator;
import com.sun.net.httpserver.HttpsServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import javax.net.ssl.SSLContext;

/**
 * A stand-in for Consul's HTTP API, as far as the proxy uses it: {@code GET /v1/health/service/NAME} with blocking
 * queries, and the headers {@code X-Consul-Index}, {@code X-Consul-KnownLeader} and {@code X-Consul-LastContact}. Written
 * from Consul's public documentation; on loopback. Instances and checks are changed by the test that owns it, and faults
 * are ordered as moods.
 */
public final class ConsulStandIn implements AutoCloseable {
  private static final long WAIT_DEFAULT_MILLIS = 300_000;
  private static final long WAIT_MOST_MILLIS = 600_000;

  /** What it does with a call. */
  public enum Mood {
    ANSWERS,
    /** Holds each call without a word, until its caller gives up. */
    SILENT,
    /** 500 to every call. */
    FAILS,
    /** 429: asked too often. */
    TOO_OFTEN,
    /** Answers, and says that it knows no leader. */
    NO_LEADER,
    /** Answers, from a server that last heard its leader a minute ago. */
    STALE,
    /** Answers with no instance at all. */
    EMPTY,
    /** Sends half of the answer, then closes. */
    CUTS,
    /** Closes the connection without an answer. */
    RESETS,
    /** Not JSON. */
    GARBLES
  }

  /** One instance of a service, with its checks, as a test registers it. */
  public static final class Instance {
    final String node;
    final String nodeAddress;
    final String id;
    final String service;
    final int port;
    final List<String> tags = new ArrayList<>();
    final Map<String, String> nodeMeta = new LinkedHashMap<>();
    final Map<String, String> serviceMeta = new LinkedHashMap<>();
    final Map<String, String> checks = new LinkedHashMap<>();
    final Map<String, String> checkService = new HashMap<>();
    String address = "";
    int passing = 1;
    int warning = 1;
    long createIndex;

    /** Sets {@code Weights.Warning}. */
    public void warningWeight(int weight) {
      warning = weight;
    }

    /** Adds a tag. */
    public void tag(String tag) {
      tags.add(tag);
    }

    /** Sets a key of the node's metadata. */
    public void nodeMeta(String key, String value) {
      nodeMeta.put(key, value);
    }

    /** Sets the service's own address; empty for its node's. */
    public void address(String text) {
      address = text;
    }

    Instance(String node, String nodeAddress, String service, String id, int port) {
      this.node = node;
      this.nodeAddress = nodeAddress;
      this.service = service;
      this.id = id;
      this.port = port;
      checks.put("serfHealth", "passing");
      checkService.put("serfHealth", "");
      checks.put("service:" + id, "passing");
      checkService.put("service:" + id, id);
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
    Thread thread = new Thread(work, "consul-stand-in");
    thread.setDaemon(true);
    return thread;
  });
  /** The lock of all that follows, and what blocking queries wait on. */
  private final Object lock = new Object();
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Map<String, Long> serviceIndex = new HashMap<>();
  private final AtomicLong calls = new AtomicLong();
  private long raftIndex = 10;
  private volatile Mood mood = Mood.ANSWERS;
  private volatile Predicate<String> onlyToken = token -> true;

  /** On a free port of loopback, in plain HTTP. */
  public ConsulStandIn() throws IOException {
    this(null);
  }

  /** On a free port of loopback, in HTTPS with this context; null for plain HTTP. */
  public ConsulStandIn(SSLContext tls) throws IOException {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    if (tls == null) {
      server = HttpServer.create(any, 64);
    } else {
      HttpsServer https = HttpsServer.create(any, 64);
      https.setHttpsConfigurator(new HttpsConfigurator(tls));
      server = https;
    }
    server.setExecutor(threads);
    server.createContext("/v1/health/service/", this::health);
    server.start();
  }

  public InetSocketAddress address() {
    return server.getAddress();
  }

  /** From now on; calls that wait are woken, to be answered in the new mood's way. */
  public void mood(Mood fresh) {
    synchronized (lock) {
      mood = fresh;
      lock.notifyAll();
    }
  }

  /** Answers only calls whose {@code X-Consul-Token} passes; others get 403, as with an ACL that denies. */
  public void tokens(Predicate<String> allowed) {
    onlyToken = allowed;
  }

  /** Calls of the health endpoint so far. */
  public long calls() {
    return calls.get();
  }

  /** Registers an instance, or registers it anew: as after a restart, with a new create index. Returns its key. */
  public String register(String node, String nodeAddress, String service, String id, int port) {
    synchronized (lock) {
      Instance instance = new Instance(node, nodeAddress, service, id, port);
      instance.createIndex = ++raftIndex;
      instances.put(key(node, id), instance);
      changed(service);
      return key(node, id);
    }
  }

  private static String key(String node, String id) {
    return node + "/" + id;
  }

  /** Changes an instance: meta, tags, weights, address. The change is one step of the index. */
  public void change(String key, java.util.function.Consumer<Instance> change) {
    synchronized (lock) {
      Instance instance = instances.get(key);
      change.accept(instance);
      changed(instance.service);
    }
  }

  /** Sets the status of the instance's own check: passing, warning or critical. */
  public void status(String key, String status) {
    check(key, "service:" + key.substring(key.indexOf('/') + 1), status);
  }

  /** Sets the status of one of its checks, made where it is missing. */
  public void check(String key, String check, String status) {
    synchronized (lock) {
      Instance instance = instances.get(key);
      instance.checks.put(check, status);
      instance.checkService.putIfAbsent(check, check.equals("serfHealth") || check.equals("_node_maintenance") ? ""
          : instance.id);
      changed(instance.service);
    }
  }

  /** Maintenance of the instance: a critical check of that name, as Consul adds one. */
  public void maintenance(String key, boolean on) {
    synchronized (lock) {
      Instance instance = instances.get(key);
      String check = "_service_maintenance:" + instance.id;
      if (on) {
        instance.checks.put(check, "critical");
        instance.checkService.put(check, instance.id);
      } else {
        instance.checks.remove(check);
      }
      changed(instance.service);
    }
  }

  /** Takes the instance out of the catalogue. */
  public void deregister(String key) {
    synchronized (lock) {
      Instance gone = instances.remove(key);
      changed(gone.service);
    }
  }

  /** As after a restore from an older snapshot: the index begins low again. */
  public void restoreIndex(long index) {
    synchronized (lock) {
      raftIndex = index;
      serviceIndex.replaceAll((service, before) -> index);
      lock.notifyAll();
    }
  }

  private void changed(String service) {
    serviceIndex.put(service, ++raftIndex);
    lock.notifyAll();
  }

  // ---- The endpoint ----------------------------------------------------------------------------

  private void health(HttpExchange exchange) throws IOException {
    calls.incrementAndGet();
    try (exchange) {
      if (!onlyToken.test(exchange.getRequestHeaders().getFirst("X-Consul-Token"))) {
        send(exchange, 403, "ACL not found", 0, true, 0);
        return;
      }
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      String service = exchange.getRequestURI().getPath().substring("/v1/health/service/".length());
      long index = whole(query.get("index"));
      long waitMillis = Math.min(WAIT_MOST_MILLIS, query.containsKey("wait") ? duration(query.get("wait"))
          : WAIT_DEFAULT_MILLIS);
      String body;
      long at;
      Mood now;
      synchronized (lock) {
        long until = System.currentTimeMillis() + waitMillis + waitMillis / 16;
        Mood began = mood;
        while (index > 0 && answersAfterWaiting(began) && serviceIndex.getOrDefault(service, raftIndex) <= index
            && mood == began) {
          long left = until - System.currentTimeMillis();
          if (left <= 0) {
            break;
          }
          lock.wait(left);
        }
        now = mood;
        at = serviceIndex.getOrDefault(service, raftIndex);
        body = now == Mood.EMPTY ? "[]" : now == Mood.GARBLES ? "<html>gateway</html>" : entries(service);
      }
      answer(exchange, now, body, at);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Whether a blocking query waits in this mood; in the others it is answered, or not, at once. */
  private static boolean answersAfterWaiting(Mood mood) {
    return mood != Mood.SILENT && mood != Mood.FAILS && mood != Mood.TOO_OFTEN && mood != Mood.RESETS;
  }

  private static void answer(HttpExchange exchange, Mood now, String body, long at) throws IOException {
    switch (now) {
      case SILENT -> sleep(WAIT_MOST_MILLIS);
      case FAILS -> send(exchange, 500, "rpc error: No cluster leader", 0, false, 0);
      case TOO_OFTEN -> send(exchange, 429, "rate limit exceeded", 0, true, 0);
      case RESETS -> {
        // Closed before any header: the caller sees its connection end under its call.
      }
      case CUTS -> {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(at));
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes, 0, bytes.length / 2);
        exchange.getResponseBody().flush();
      }
      default -> send(exchange, 200, body, at, now != Mood.NO_LEADER, now == Mood.STALE ? 60_000 : 0);
    }
  }

  private static void send(HttpExchange exchange, int status, String body, long index, boolean leader, long contact)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", status == 200 ? "application/json" : "text/plain");
    if (index > 0) {
      exchange.getResponseHeaders().set("X-Consul-Index", Long.toString(index));
    }
    exchange.getResponseHeaders().set("X-Consul-KnownLeader", Boolean.toString(leader));
    exchange.getResponseHeaders().set("X-Consul-LastContact", Long.toString(contact));
    exchange.sendResponseHeaders(status, bytes.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(bytes);
    }
  }

  /** The entries of the service, in the form of Consul's answer. */
  private String entries(String service) {
    StringBuilder json = new StringBuilder("[");
    for (Instance instance : instances.values()) {
      if (!instance.service.equals(service)) {
        continue;
      }
      if (json.length() > 1) {
        json.append(',');
      }
      json.append("{\"Node\":{\"ID\":\"").append(instance.node).append("-id\",\"Node\":").append(quote(instance.node))
          .append(",\"Address\":").append(quote(instance.nodeAddress)).append(",\"Datacenter\":\"dc1\",\"Meta\":")
          .append(map(instance.nodeMeta)).append("},\"Service\":{\"ID\":").append(quote(instance.id))
          .append(",\"Service\":").append(quote(instance.service)).append(",\"Tags\":").append(list(instance.tags))
          .append(",\"Address\":").append(quote(instance.address)).append(",\"Meta\":").append(map(instance.serviceMeta))
          .append(",\"Port\":").append(instance.port).append(",\"Weights\":{\"Passing\":").append(instance.passing)
          .append(",\"Warning\":").append(instance.warning).append("},\"EnableTagOverride\":false,\"CreateIndex\":")
          .append(instance.createIndex).append(",\"ModifyIndex\":").append(raftIndex).append("},\"Checks\":[");
      boolean first = true;
      for (Map.Entry<String, String> check : instance.checks.entrySet()) {
        json.append(first ? "" : ",").append("{\"Node\":").append(quote(instance.node)).append(",\"CheckID\":")
            .append(quote(check.getKey())).append(",\"Name\":").append(quote(check.getKey())).append(",\"Status\":")
            .append(quote(check.getValue())).append(",\"Notes\":\"\",\"Output\":\"\",\"ServiceID\":")
            .append(quote(instance.checkService.getOrDefault(check.getKey(), ""))).append(",\"ServiceName\":")
            .append(quote(instance.checkService.getOrDefault(check.getKey(), "").isEmpty() ? "" : instance.service))
            .append("}");
        first = false;
      }
      json.append("]}");
    }
    return json.append(']').toString();
  }

  private static String quote(String text) {
    return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  private static String list(List<String> items) {
    List<String> quoted = new ArrayList<>();
    items.forEach(item -> quoted.add(quote(item)));
    return "[" + String.join(",", quoted) + "]";
  }

  private static String map(Map<String, String> values) {
    List<String> pairs = new ArrayList<>();
    values.forEach((key, value) -> pairs.add(quote(key) + ":" + quote(value)));
    return "{" + String.join(",", pairs) + "}";
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

  private static long whole(String text) {
    try {
      return text == null ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /** Consul's form of a duration: a number and ms, s, m or h. */
  private static long duration(String text) {
    String digits = text.replaceAll("[^0-9]", "");
    long number = digits.isEmpty() ? 0 : Long.parseLong(digits);
    return text.endsWith("ms") ? number : text.endsWith("s") ? number * 1000 : text.endsWith("m") ? number * 60_000
        : text.endsWith("h") ? number * 3_600_000 : number;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
    try {
      threads.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
