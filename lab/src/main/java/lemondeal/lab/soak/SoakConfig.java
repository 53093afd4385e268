package lemondeal.lab.soak;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The platform's configuration of the proxies in a soak. Settings that differ between customers are drawn at random, so
 * that each seed is a different deployment. The soak prints this record, so its components keep their names.
 *
 * @param pushed whether discovery pushes changes of the list without a subscription
 * @param probes whether proxies may ask servers for their load
 * @param cancelling whether a proxy may cancel an attempt before it times out
 * @param groups whether clients belong to groups that share a server's work
 * @param tells what servers report about a connection among its lines
 * @param longestDeadlineMillis the longest deadline of a client
 * @param drainGraceMillis grace period within which a proxy must stop sending to a draining server
 * @param repeatWindowMillis time during which servers drop repeats of keyed requests
 * @param dialMillis timeout for connecting to a server
 * @param keepaliveMillis time after which idle connections are closed
 * @param askEveryMillis longest time between two list requests of a proxy without a watch
 * @param sockets limit of a proxy's descriptors
 */
record SoakConfig(int proxies, boolean pushed, boolean probes, boolean cancelling, boolean groups, LoadReports tells,
    long longestDeadlineMillis, long drainGraceMillis, long repeatWindowMillis, long dialMillis, long keepaliveMillis,
    long askEveryMillis, int sockets) {
  /** What the LOAD lines that servers send on a connection mean: none are sent, loads, delays, or either. */
  enum LoadReports { NOTHING, LOADS, DELAYS, BOTH }

  static final long WARM_WITHIN_MILLIS = 5_000;
  static final int MEMORY_MB = 192;
  static final List<String> ZONES = List.of("a", "b");
  private static final int MIN_SOCKETS = 256;
  private static final long MIN_DEADLINE = 1_000;
  private static final long DEADLINE_SPREAD = 2_000;
  private static final long MIN_DRAIN_GRACE = 250;
  private static final long DRAIN_GRACE_SPREAD = 1_250;
  private static final long MIN_REPEAT_WINDOW = 300;
  private static final long REPEAT_WINDOW_SPREAD = 2_700;
  private static final long MIN_DIAL = 100;
  private static final long DIAL_SPREAD = 400;
  private static final long MIN_KEEPALIVE = 300;
  private static final long KEEPALIVE_SPREAD = 5_000;
  private static final long MIN_ASK_EVERY = 2_000;
  private static final long ASK_EVERY_SPREAD = 8_000;

  /** Draws the settings of a random deployment. */
  static SoakConfig draw(UniformRandomProvider random, int proxies) {
    return new SoakConfig(proxies, random.nextBoolean(), random.nextBoolean(), random.nextInt(4) > 0,
        random.nextInt(3) == 0, LoadReports.values()[random.nextInt(LoadReports.values().length)],
        MIN_DEADLINE + random.nextLong(DEADLINE_SPREAD), MIN_DRAIN_GRACE + random.nextLong(DRAIN_GRACE_SPREAD),
        MIN_REPEAT_WINDOW + random.nextLong(REPEAT_WINDOW_SPREAD), MIN_DIAL + random.nextLong(DIAL_SPREAD),
        MIN_KEEPALIVE + random.nextLong(KEEPALIVE_SPREAD), MIN_ASK_EVERY + random.nextLong(ASK_EVERY_SPREAD),
        MIN_SOCKETS + random.nextInt(MIN_SOCKETS));
  }

  /** Returns the configuration of one proxy; {@code maxAttempts} is the setting that reloads change. */
  String json(int proxy, InetSocketAddress listen, InetSocketAddress discovery, String known, int maxAttempts) {
    List<String> classes = new ArrayList<>();
    for (RequestClass requestClass : RequestClass.values()) {
      classes.add(("{\"name\":\"%s\",\"semantics\":\"%s\",\"group\":\"%s\",\"aim\":300000,\"hardLimit\":%d,"
          + "\"dedupWindow\":%d,\"gain\":1.0,\"streamed\":true}").formatted(requestClass.label, requestClass.semantics,
          requestClass.group, longestDeadlineMillis * 1000, repeatWindowMillis * 1000));
    }
    return """
        {"name":"p%d","listen":"%s:%d","admin_addr":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"%x",
         "limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
         "known":%s,
         "settings":{"slotNo":%d,"balancers":%d,"locality":%d,"azs":["a","b"],"flavors":["m"],"membershipMode":"%s",
           "weightSource":"rough",
           "familyInfo":{"mode":"proxy","groups":%b,"messageAim":[1000000],"tellsDelay":%b,"tellsLoad":%b},
           "loadReport":{"columns":["served_ps","busy_reqs","x0"],"via":"on_probe"},
           "profiles":[%s],
           "permissions":{"dialTimeout":%d,"keepalive":%d,"cancelling":%b,"retryAfter":true,"mayTell":false,
             "mayProbe":%b,"parallelTries":false,"maxRetryAfter":2000000,"tryLimit":%d,"cpuUsPerS":1000000},
           "rules":{"answerSlack":20000,"drainGrace":%d,"fallMultiple":4.0,"overloadFor":2000000,
             "coldFrom":0.35,"warmWithin":%d,"askEvery":%d},
           "prices":{"crossZone":0.03,"waste":0.2,"probe":0.0023,"moves":0.01}}}
        """.formatted(proxy, listen.getHostString(), listen.getPort(), discovery.getPort(), proxy + 1, MEMORY_MB,
        sockets, known, proxy, proxies, proxy % ZONES.size(), pushed ? "automatic" : "subscribe", groups,
        tells == LoadReports.DELAYS || tells == LoadReports.BOTH,
        tells == LoadReports.LOADS || tells == LoadReports.BOTH, String.join(",", classes), dialMillis * 1000,
        keepaliveMillis * 1000, cancelling, probes, maxAttempts, drainGraceMillis * 1000, WARM_WITHIN_MILLIS * 1000,
        askEveryMillis * 1000);
  }
}
