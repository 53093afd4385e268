package lemondeal.lab.stream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import lemondeal.lab.FakeDiscovery;
import lemondeal.lab.ProxyProcess;
import lemondeal.lab.claims.FakeClaimStore;
import lemondeal.lab.TestCertificateAuthority;

/** A small cluster on loopback: real proxies in child processes, fake servers, discovery and claim store. */
public final class ResumeTestCluster implements AutoCloseable {
  public static final String RESUMABLE_CLASS = "order-sync";

  private final Path folder;
  private final FakeDiscovery discovery = new FakeDiscovery();
  private final SessionStore sessionStore = new SessionStore();
  private final FakeClaimStore claimStore;
  private final Map<String, ResumableServer> servers = new LinkedHashMap<>();
  private final List<ProxyProcess> proxies = new ArrayList<>();
  private final AtomicInteger nextProxyIndex = new AtomicInteger();
  private volatile int pinnedProxy = -1;
  private final Path operatorFile;
  /** Claim stores with TLS; empty without TLS. */
  private final List<FakeClaimStore> tlsStores = new ArrayList<>();
  private final String extraSections;

  /**
   * Starts the servers and proxies.
   *
   * @param resumeSettings lines of the operator's section {@code resume} in addition to classes, keys and claims; null
   *     for no operator file
   */
  public ResumeTestCluster(int proxyCount, int serverCount, String resumeSettings)
      throws IOException, InterruptedException {
    this(proxyCount, serverCount, resumeSettings, "");
  }

  /**
   * Starts the servers and proxies with further sections of the operator's file.
   *
   * @param extraSections sections in addition to {@code version} and {@code resume}, such as
   *     {@code limits: {rings_mb: 20}}
   */
  public ResumeTestCluster(int proxyCount, int serverCount, String resumeSettings, String extraSections)
      throws IOException, InterruptedException {
    this.extraSections = extraSections;
    folder = Files.createTempDirectory("lemondeal-lab");
    claimStore = new FakeClaimStore();
    operatorFile = resumeSettings == null ? null : folder.resolve("operator.yaml");
    if (resumeSettings != null) {
      runCommand("keys", "make", folder.resolve("keys.yaml").toString());
      writeOperatorFile(resumeSettings, "fleet, store: '127.0.0.1:" + claimStore.address().getPort() + "'");
    }
    for (int i = 1; i <= serverCount; i++) {
      addServer("s-" + i);
    }
    for (int i = 0; i < proxyCount; i++) {
      startProxy(i, proxyCount);
    }
  }

  private void writeOperatorFile(String resumeSettings, String claimsSetting) throws IOException {
    Files.writeString(operatorFile, """
        version: 1
        %s
        resume:
          classes: [order-sync]
          keys: keys.yaml
          claims: {in: %s}
        %s
        """.formatted(extraSections, claimsSetting, resumeSettings.indent(2)));
  }

  /**
   * Makes proxies that start from now on use a claim store with two addresses that accepts only TLS and requires a
   * certificate of the test authority. Returns the two replicas in the order of their addresses.
   */
  public List<FakeClaimStore> useTlsClaimStore() throws IOException {
    TestCertificateAuthority authority = TestCertificateAuthority.create("lab-claims");
    Path authorityFile = authority.writeCertificate(folder.resolve("claims-ca.pem"));
    TestCertificateAuthority.IssuedCertificate storeCertificate = authority.issue(folder, "claims-store",
        "claims.lab.test");
    TestCertificateAuthority.IssuedCertificate proxyCertificate = authority.issue(folder, "proxy", "proxy.lab.test");
    FakeClaimStore first = new FakeClaimStore(new FakeClaimStore.Tls(storeCertificate.certificate(),
        storeCertificate.key(), authorityFile));
    tlsStores.add(first);
    tlsStores.add(first.replica());
    writeOperatorFile("", "fleet, store: ['127.0.0.1:%d', '127.0.0.1:%d'],\n"
        .formatted(first.address().getPort(), tlsStores.get(1).address().getPort())
        + "    tls: {authority: claims-ca.pem, certificate: proxy.pem, key: proxy.key, name: claims.lab.test}");
    return List.copyOf(tlsStores);
  }

  /** Makes proxies that start from now on keep claims on disk. */
  public void useDiskClaims() throws IOException {
    writeOperatorFile("", "disk, folder: claims");
  }

  /** Runs a command of the program and returns its output. */
  public static String runCommand(String... arguments) throws IOException, InterruptedException {
    Process process = new ProcessBuilder(ProxyProcess.command(arguments)).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    if (process.waitFor() != 0) {
      throw new IOException(String.join(" ", arguments) + ": " + output);
    }
    return output;
  }

  /** Starts or restarts proxy {@code i} of {@code count}. */
  public void startProxy(int i, int count) throws IOException, InterruptedException {
    String listen = i < proxies.size() ? "127.0.0.1:" + proxies.get(i).address().getPort() : "127.0.0.1:0";
    Path config = folder.resolve("proxy-" + i + ".json");
    Files.writeString(config, """
        {"name":"n%d","listen":"%s","admin_addr":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%x",
         "limits":{"sockets":4096,"memory_mb":192},
         "known":{"generation":0,"reset":true,"instances":[]},
         "settings":{"slotNo":%d,"balancers":%d,"azs":["a"],"flavors":["m"],"membershipMode":"subscribe",
           "familyInfo":{"mode":"proxy","groups":false,"messageAim":[1000000,1000000]},
           "permissions":{"dialTimeout":500000,"keepalive":5000000,"cancelling":true,"retryAfter":true,
             "maxRetryAfter":2000000,"tryLimit":3,"cpuUsPerS":1000000},
           "rules":{"answerSlack":20000,"drainGrace":1000000,"fallMultiple":4.0,"overloadFor":2000000,
             "coldFrom":0.35,"warmWithin":9000000,"askEvery":10000000},
           "prices":{"crossZone":0.03,"waste":0.2,"probe":0.0023,"moves":0.01},
           "profiles":[{"name":"order-sync","semantics":"idempotent","aim":500000,"hardLimit":2000000},
             {"name":"chat","semantics":"idempotent","aim":500000,"hardLimit":2000000}]}}
        """.formatted(i, listen, discovery.address().getPort(), i + 1, i, count));
    ProxyProcess started = ProxyProcess.start(config, operatorFile);
    if (i < proxies.size()) {
      proxies.set(i, started);
    } else {
      proxies.add(started);
    }
    started.awaitLog("ready");
  }

  /** Starts a server and lists it under the id. */
  public ResumableServer addServer(String id) throws IOException {
    ResumableServer server = new ResumableServer(sessionStore);
    servers.put(id, server);
    discovery.putInstance(id, server.address(), "in_service");
    return server;
  }

  /** Drains the server as an operator would: discovery lists it as terminating, and the server moves its clients. */
  public void drain(String id) {
    discovery.putInstance(id, servers.get(id).address(), "terminating");
    servers.get(id).drain();
  }

  /** Crashes the server and lists it as terminated. */
  public void kill(String id) {
    servers.get(id).kill();
    discovery.putInstance(id, servers.get(id).address(), "terminated");
  }

  /** Directs all new clients to one proxy; -1 restores round-robin. */
  public void pinToProxy(int proxy) {
    pinnedProxy = proxy;
  }

  /** Returns the pinned proxy, or the next live proxy in round-robin order. */
  public InetSocketAddress nextProxyAddress() {
    if (pinnedProxy >= 0) {
      return proxies.get(pinnedProxy).address();
    }
    for (int i = 0; i < proxies.size(); i++) {
      ProxyProcess proxy = proxies.get(Math.floorMod(nextProxyIndex.getAndIncrement(), proxies.size()));
      if (proxy.isAlive()) {
        return proxy.address();
      }
    }
    throw new IllegalStateException("no proxy is alive");
  }

  public List<ProxyProcess> proxies() {
    return proxies;
  }

  public ResumableServer server(String id) {
    return servers.get(id);
  }

  public SessionStore sessionStore() {
    return sessionStore;
  }

  public FakeClaimStore claimStore() {
    return claimStore;
  }

  public Path folder() {
    return folder;
  }

  /** Starts each client on its own thread; {@link #await} waits for them. */
  public static List<Thread> start(List<ResumingClient> clients) {
    List<Thread> threads = new ArrayList<>();
    for (ResumingClient client : clients) {
      Thread thread = new Thread(null, client, "client-" + client.name(), 256 * 1024);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  public static void await(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  @Override
  public void close() {
    proxies.forEach(ProxyProcess::close);
    servers.values().forEach(ResumableServer::kill);
    discovery.close();
    claimStore.close();
    tlsStores.forEach(FakeClaimStore::close);
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
