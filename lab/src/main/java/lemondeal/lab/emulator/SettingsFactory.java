package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer;

/** Creates the module's settings for a scenario, as the platform would configure them. */
final class SettingsFactory {
  private static final int MAX_ATTEMPTS = 3;
  private static final long MAX_RETRY_AFTER = 2 * Scenario.SECOND;
  private static final long LIST_POLL_INTERVAL = 10 * Scenario.SECOND;

  private SettingsFactory() {}

  static Balancer.Settings create(Scenario scenario, int proxyNumber, int zone) {
    List<Balancer.RequestClass> classes = new ArrayList<>();
    for (Scenario.ClientClass clientClass : scenario.classes()) {
      classes.add(new Balancer.RequestClass(Balancer.Idempotency.SAFE, Balancer.DedupScope.ALL, 0,
          clientClass.latencyTarget(), clientClass.deadline(), clientClass.worth(),
          clientClass.messageLatencyTarget()));
    }
    long warmUpTime = 0;
    double coldCapacityShare = 1;
    for (Scenario.ServerPool pool : scenario.pools()) {
      warmUpTime = Math.max(warmUpTime, pool.warmUpTime());
      coldCapacityShare = Math.min(coldCapacityShare, pool.coldCapacityShare());
    }
    return new Balancer.Settings(proxyNumber, scenario.proxyCount(), zone, classes, List.of(),
        new Balancer.Rules(scenario.rules().answerSlack(), scenario.rules().drainGrace(),
            scenario.rules().overloadMultiple(), scenario.rules().overloadWindow(), coldCapacityShare, warmUpTime,
            LIST_POLL_INTERVAL),
        new Balancer.Limits(MAX_ATTEMPTS, true, true, false, false, true, MAX_RETRY_AFTER, Scenario.SECOND),
        new Balancer.Prices(0.03, 0.2, 0.0023, 0, 0.01), Balancer.WeightMeaning.ROUGH, true, scenario.groupCount() > 0,
        false, true, true, 1);
  }
}
