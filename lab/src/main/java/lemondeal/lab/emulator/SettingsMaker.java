package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.List;
import lemondeal.Balancer;

/** The module's settings as a platform with this scenario would tell them. */
final class SettingsMaker {
  private static final int ATTEMPTS = 3;
  private static final long ADVICE_MOST = 2 * Scenario.SECOND;
  private static final long ASK_EVERY = 10 * Scenario.SECOND;

  private SettingsMaker() {}

  static Balancer.Settings of(Scenario scenario, int node, int zone) {
    List<Balancer.RequestClass> classes = new ArrayList<>();
    for (Scenario.ClientClass kind : scenario.classes()) {
      classes.add(new Balancer.RequestClass(Balancer.Idempotency.SAFE, Balancer.DedupScope.ALL, 0, kind.aim(),
          kind.deadline(), kind.worth(), kind.messageAim()));
    }
    long warm = 0;
    double cold = 1;
    for (Scenario.Fleet fleet : scenario.fleets()) {
      warm = Math.max(warm, fleet.warmWithin());
      cold = Math.min(cold, fleet.coldFrom());
    }
    return new Balancer.Settings(node, scenario.proxies(), zone, classes, List.of(),
        new Balancer.Rules(scenario.rules().answerSlack(), scenario.rules().drainGrace(),
            scenario.rules().coldMultiple(), scenario.rules().coldWindow(), cold, warm, ASK_EVERY),
        new Balancer.Limits(ATTEMPTS, true, true, false, false, true, ADVICE_MOST, Scenario.SECOND),
        new Balancer.Prices(0.03, 0.2, 0.0023, 0, 0.01), Balancer.WeightMeaning.ROUGH, true, scenario.groups() > 0,
        false, true, true, 1);
  }
}
