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
 * Real proxies that list their servers from a stand-in Consul, stand-in link servers registered there, all on
 * loopback. Ended with its owner.
 */
public final class ConsulTestCluster implements AutoCloseable {
  /** The service that the link servers are registered under. */
  public static final String SERVICE = "link";
  /** The class of ordinary clients. */
  public static final String CHAT_CLASS = "chat";
  /** Another class. */
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
   * Starts so many servers, registered in Consul on nodes of their own, and so many proxies.
   *
   * @param more lines of the operator's section {@code discovery.consul} beside agents and service
   */
  public ConsulTestCluster(int proxyCount, int serverCount, String extraSettings) throws IOException, InterruptedException {
    this(proxyCount, serverCount, extraSettings, Map.of());
  }

  /** The same, with these variables in the environment of each proxy. */
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

  /** The operator's file from the next start or SIGHUP on: Consul at these agents, and these other keys beside them. */
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

  /** SIGHUP to every proxy, and waits until each has read its file anew. */
  public void reloadProxies() throws IOException, InterruptedException {
    for (ProxyProcess proxy : proxies) {
      proxy.sendSighup();
      proxy.awaitLog("read anew");
    }
  }

  /** The ordinary service and these keys. */
  public static String consulSettings(String extraSettings) {
    return "service: " + SERVICE + "\n" + extraSettings;
  }

  /** Starts a link server and registers it on a node of its own, named as the server. */
  public EchoServer addServer(String name) throws IOException {
    return addServer(name, SERVICE, consul);
  }

  /** The same under another service, or in another Consul. */
  public EchoServer addServer(String name, String service, FakeConsul registry) throws IOException {
    EchoServer server = new EchoServer();
    servers.put(name, server);
    consulKeys.put(name, registry.catalogue().register("node-" + name, "127.0.0.1", service, name,
        server.address().getPort()));
    return server;
  }

  /** Starts proxy number {@code i} of so many, or starts it again. */
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

  /** The next proxy that is alive, in turn, as a front shares clients out. */
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

  /** The server's key in Consul. */
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
