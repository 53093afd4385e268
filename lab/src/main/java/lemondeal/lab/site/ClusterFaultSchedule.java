package lemondeal.lab.site;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Scheduled faults of the proxies of a {@link FleetTestCluster} and of the network between them. */
public record ClusterFaultSchedule(List<ClusterFault> faults) {
  private static final long MAX_DURATION_MILLIS = 3_000;

  /** An action on the cluster at its time. */
  private record ScheduledAction(long atMillis, Action action) {}

  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  /** Parses one fault per line with {@link ClusterFault#parse}; skips blank lines. */
  public static ClusterFaultSchedule parse(String lines) {
    return new ClusterFaultSchedule(lines.lines().map(String::strip).filter(line -> !line.isEmpty())
        .map(ClusterFault::parse).toList());
  }

  /** Generates faults on single directions that all end within the period. The same seed gives the same schedule. */
  public static ClusterFaultSchedule random(long seed, int proxies, int count, long periodMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> kinds = List.of("cut %s", "stall %s", "delay %s by 100ms spread 300ms", "lose %s by 0.3",
        "throttle %s by 2000");
    List<ClusterFault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int from = random.nextInt(proxies);
      int to = (from + 1 + random.nextInt(proxies - 1)) % proxies;
      long startMillis = random.nextLong(periodMillis - 1);
      long durationMillis = Math.min(periodMillis - startMillis, 1 + random.nextLong(MAX_DURATION_MILLIS));
      faults.add(ClusterFault.parse("at " + startMillis + "ms " + kinds.get(random.nextInt(kinds.size()))
          .formatted("n" + from + " to n" + to) + " for " + durationMillis + "ms"));
    }
    return new ClusterFaultSchedule(faults);
  }

  /** Applies the faults and returns after the last one has ended. Faults without an end stay in effect. */
  public void run(FleetTestCluster cluster) throws IOException, InterruptedException {
    List<ScheduledAction> schedule = new ArrayList<>();
    for (ClusterFault fault : faults) {
      schedule.add(new ScheduledAction(fault.startMillis(), () -> startFault(fault, cluster)));
      if (fault.durationMillis() > 0) {
        schedule.add(new ScheduledAction(fault.startMillis() + fault.durationMillis(), () -> endFault(fault, cluster)));
      }
    }
    schedule.sort(Comparator.comparingLong(ScheduledAction::atMillis));
    long startNanos = System.nanoTime();
    for (ScheduledAction scheduled : schedule) {
      Thread.sleep(Math.max(0, scheduled.atMillis() - (System.nanoTime() - startNanos) / 1_000_000));
      scheduled.action().run();
    }
  }

  private static void startFault(ClusterFault fault, FleetTestCluster cluster)
      throws IOException, InterruptedException {
    switch (fault.kind()) {
      case STOP -> forEachProxy(fault.fromProxies(), cluster, i -> cluster.signal(i, "STOP"));
      case KILL -> forEachProxy(fault.fromProxies(), cluster, i -> cluster.proxy(i).kill());
      default -> setConditions(fault, cluster, fault.conditions());
    }
  }

  private static void endFault(ClusterFault fault, FleetTestCluster cluster) throws IOException, InterruptedException {
    switch (fault.kind()) {
      case STOP -> forEachProxy(fault.fromProxies(), cluster, i -> cluster.signal(i, "CONT"));
      case KILL -> forEachProxy(fault.fromProxies(), cluster, cluster::start);
      default -> setConditions(fault, cluster, NetworkConditions.OPEN);
    }
  }

  private interface ProxyAction {
    void apply(int proxy) throws IOException, InterruptedException;
  }

  private static void forEachProxy(List<Integer> proxies, FleetTestCluster cluster, ProxyAction action)
      throws IOException, InterruptedException {
    for (int i = 0; i < cluster.size(); i++) {
      if (proxies.isEmpty() || proxies.contains(i)) {
        action.apply(i);
      }
    }
  }

  private static void setConditions(ClusterFault fault, FleetTestCluster cluster, NetworkConditions conditions) {
    for (int from = 0; from < cluster.size(); from++) {
      for (int to = 0; to < cluster.size(); to++) {
        if (from != to && fault.affects(from, to)) {
          cluster.relay(from, to).setConditions(conditions);
        }
      }
    }
  }
}
