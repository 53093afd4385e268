package lemondeal.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemondeal.lab.LineConnection;

/** One proxy of a soak with its servers, for tests that inject a single fault themselves. */
final class OneProxySite implements AutoCloseable {
  private static final long START_TIMEOUT_MILLIS = 20_000;
  private static final long DEADLINE_MILLIS = 5_000;
  private static final int SOCKETS = 512;

  private static final SoakConfig CONFIG = new SoakConfig(1, false, false, true, false, SoakConfig.LoadReports.NOTHING,
      DEADLINE_MILLIS, 1_000, 1_500, 150, 5_000, 10_000, SOCKETS);

  final LagMonitor lagMonitor = new LagMonitor();
  final RuleChecker checker = new RuleChecker(lagMonitor, CONFIG.repeatWindowMillis());
  final ServerListing listing = new ServerListing();
  final List<SoakServer> servers = new ArrayList<>();
  final SoakProxy proxy;
  private int requestCount;

  OneProxySite(Path folder, int serverCount) throws IOException, InterruptedException {
    DrainChecker drainChecker = new DrainChecker(listing, checker, CONFIG.drainGraceMillis(), CONFIG.pushed());
    for (int i = 0; i < serverCount; i++) {
      SoakServer server = new SoakServer(new ServerIdentity("s" + i, "a", i), checker, drainChecker, 0, CONFIG.tells());
      servers.add(server);
      listing.put(server, ServerListing.IN_SERVICE, 0);
    }
    FaultShim shim = FaultShim.create(FaultShim.compile(folder), folder.resolve("shim"));
    proxy = new SoakProxy(0, CONFIG, checker, drainChecker, listing, shim, folder);
    proxy.start();
    long giveUpAt = System.nanoTime() + START_TIMEOUT_MILLIS * 1_000_000;
    while (!proxy.isInService()) {
      if (System.nanoTime() > giveUpAt) {
        throw new IOException("the proxy did not start: " + proxy.incarnation().logLines(""));
      }
      Threads.sleepMillis(10);
    }
  }

  /** Connects a client, sends a request of this class and returns the connection without reading the answer. */
  LineConnection sendRequest(RequestClass requestClass) throws IOException {
    LineConnection lines = LineConnection.connect(proxy.address());
    String id = "%016x".formatted(0x1000 + requestCount++);
    checker.registerRequest(id, requestClass);
    lines.setReadTimeout((int) (DEADLINE_MILLIS + 500));
    lines.writeLines("OPEN " + id + " key" + id + " c=" + requestClass.label + ",d=" + DEADLINE_MILLIS);
    return lines;
  }

  @Override
  public void close() {
    checker.close();
    proxy.close();
    servers.forEach(SoakServer::close);
    lagMonitor.close();
  }
}
