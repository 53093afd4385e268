package lemondeal.lab.consul;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import lemondeal.lab.ProxyProcess;

/**
 * Real proxies that discover their servers from a fake Consul, and echo servers registered there, all on loopback.
 * {@link #close} stops all of them and deletes their files.
 */
public final class ConsulTestCluster implements AutoCloseable {
  /** Service that the echo servers are registered under. */
  public static final String SERVICE = "link";
  /** Request class of ordinary clients. */
  public static final String CHAT_CLASS = "chat";
  /** A second request class. */
  public static final String FEED_CLASS = "feed";

  private final Path folder;
  private final FakeConsul consul;
  private final Map<String, EchoServer> servers = new LinkedHashMap<>();
  private final Map<String, String> consulKeys = new LinkedHashMap<>();
  private final List<ProxyProcess> proxies = new ArrayList<>();
  private final AtomicInteger nextProxyIndex = new AtomicInteger();
  private final int unusedPort;
  private final Map<String, String> environment;

  /**
   * Starts the servers, each registered in Consul on its own node, and the proxies.
   *
   * @param extraSettings lines of the operator's section {@code discovery.consul} in addition to agents and service
   */
  public ConsulTestCluster(int proxyCount, int serverCount, String extraSettings)
      throws IOException, InterruptedException {
    this(proxyCount, serverCount, extraSettings, Map.of());
  }

  /** Starts the cluster with additional environment variables for each proxy. */
  public ConsulTestCluster(int proxyCount, int serverCount, String extraSettings, Map<String, String> environment)
      throws IOException, InterruptedException {
    this.environment = environment;
    folder = Files.createTempDirectory("lemondeal-consul");
    consul = new FakeConsul();
    try (ServerSocket portProbe = new ServerSocket(0)) {
      unusedPort = portProbe.getLocalPort();
    }
    for (int i = 1; i <= serverCount; i++) {
      addServer("s-" + i);
    }
    writeOperatorFile(List.of(consul.address()), consulSettings(extraSettings));
    for (int i = 0; i < proxyCount; i++) {
      startProxy(i, proxyCount);
    }
  }

  /** Writes the operator's file with Consul's agents and further settings; proxies read it at start or on SIGHUP. */
  public void writeOperatorFile(List<InetSocketAddress> agents, String settings) throws IOException {
    List<String> quoted = agents.stream().map(agent -> "'127.0.0.1:" + agent.getPort() + "'").toList();
    Files.writeString(folder.resolve("operator.yaml"), """
        version: 1
        discovery:
          consul:
            agents: [%s]
        %s
        """.formatted(String.join(", ", quoted), settings.indent(4)));
  }

  /** Sends SIGHUP to every proxy and waits until each has reloaded its file. */
  public void reloadProxies() throws IOException, InterruptedException {
    for (ProxyProcess proxy : proxies) {
      proxy.sendSighup();
      proxy.awaitLog("read anew");
    }
  }

  /** Returns settings that name {@link #SERVICE}, followed by the extra settings. */
  public static String consulSettings(String extraSettings) {
    return "service: " + SERVICE + "\n" + extraSettings;
  }

  /** Starts an echo server and registers it on its own node, named after the server. */
  public EchoServer addServer(String name) throws IOException {
    return addServer(name, SERVICE, consul);
  }

  /** Starts an echo server and registers it under a service of the given Consul. */
  public EchoServer addServer(String name, String service, FakeConsul registry) throws IOException {
    EchoServer server = new EchoServer();
    servers.put(name, server);
    consulKeys.put(name, registry.catalogue().register("node-" + name, "127.0.0.1", service, name,
        server.address().getPort()));
    return server;
  }

  /** Starts or restarts proxy {@code i} of {@code count}. */
  public void startProxy(int i, int count) throws IOException, InterruptedException {
    Path config = folder.resolve("proxy-" + i + ".json");
    Files.writeString(config, """
        {"name":"n%d","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%x",
         "limits":{"sockets":4096,"memory_mb":192},
         "known":{"generation":0,"reset":true,"instances":[]},
         "settings":{"slotNo":%d,"balancers":%d,"azs":["a","b"],"flavors":["m"],"membershipMode":"subscribe",
           "familyInfo":{"mode":"proxy","groups":false,"messageAim":[1000000,1000000]},
           "permissions":{"dialTimeout":500000,"keepalive":5000000,"cancelling":true,"retryAfter":true,
             "maxRetryAfter":2000000,"tryLimit":3,"cpuUsPerS":1000000},
           "rules":{"answerSlack":20000,"drainGrace":1000000,"fallMultiple":4.0,"overloadFor":2000000,
             "coldFrom":0.35,"warmWithin":9000000,"askEvery":10000000},
           "prices":{"crossZone":0.03,"waste":0.2,"probe":0.0023,"moves":0.01},
           "profiles":[{"name":"%s","semantics":"idempotent","aim":500000,"hardLimit":2000000},
            {"name":"%s","semantics":"idempotent","aim":500000,"hardLimit":2000000}]}}
        """.formatted(i, unusedPort, i + 1, i, count, CHAT_CLASS, FEED_CLASS));
    ProxyProcess started = ProxyProcess.start(config, folder.resolve("operator.yaml"), environment);
    if (i < proxies.size()) {
      proxies.set(i, started);
    } else {
      proxies.add(started);
    }
    started.awaitLog("ready");
  }

  /** Returns the address of the next live proxy in round-robin order, as a front-end load balancer chooses it. */
  public InetSocketAddress nextProxyAddress() {
    for (int i = 0; i < proxies.size(); i++) {
      ProxyProcess proxy = proxies.get(Math.floorMod(nextProxyIndex.getAndIncrement(), proxies.size()));
      if (proxy.isAlive()) {
        return proxy.address();
      }
    }
    throw new IllegalStateException("no proxy is alive");
  }

  public FakeConsul consul() {
    return consul;
  }

  public EchoServer server(String name) {
    return servers.get(name);
  }

  /** Returns the server's key in the fake Consul's catalogue. */
  public String consulKey(String name) {
    return consulKeys.get(name);
  }

  public Map<String, EchoServer> servers() {
    return servers;
  }

  public List<ProxyProcess> proxies() {
    return proxies;
  }

  public Path folder() {
    return folder;
  }

  @Override
  public void close() {
    proxies.forEach(ProxyProcess::close);
    servers.values().forEach(EchoServer::close);
    consul.close();
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
