package lemondeal.lab.emulator;

import java.util.List;

/** Small scenarios for tests. */
final class Scenarios {
  static final long SECOND = Scenario.SECOND;
  static final Scenario.Network NETWORK = new Scenario.Network(500, 1_500);
  static final Scenario.Store NO_STORE = new Scenario.Store(0, 0);
  static final Scenario.Discovery DISCOVERY = new Scenario.Discovery(500, 300_000, 2 * SECOND);
  static final Scenario.FrontEnd FRONT_END = new Scenario.FrontEnd(2 * SECOND, 200_000, 4 * SECOND, 200_000, 12);
  static final Scenario.Rules RULES = new Scenario.Rules(20_000, SECOND, 4, 2 * SECOND);

  private Scenarios() {}

  static Scenario.ServerPool pool(String name, int count, double cores) {
    return new Scenario.ServerPool(name, count, cores, cores, 4_000, 64, 0.3, 8 * SECOND, 0.3);
  }

  static Scenario.ClientClass chat(double loadMillisPerSecond) {
    return new Scenario.ClientClass("chat", 1, loadMillisPerSecond * 1_000, 0.8, 0.4, 8 * SECOND, 20 * SECOND, 1,
        15_000, false, 500_000, 300_000, 2 * SECOND, 1);
  }

  /** Two pools of four servers in two zones behind four proxies, at about half of their capacity. */
  static Scenario site(int seconds, Fault... faults) {
    return new Scenario(seconds, 5, 2, 4, List.of(pool("large", 4, 4), pool("small", 4, 1)), List.of(chat(10)), 45,
        List.of(), 0, 0, 0, NETWORK, NO_STORE, DISCOVERY, FRONT_END, RULES, List.of(faults));
  }
}
