package lemondeal.lab.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Start;
import lemondeal.lab.emulator.policy.Policies;

/**
 * Checks the claims of "Weighted HRW and its applications" in one table: how close each server's share of the keys is
 * to its weight, and how many keys move when a server leaves, joins or changes its weight, compared with the minimum
 * that has to move. The policies themselves place the keys, one at a time, without open connections and failures.
 */
final class PlacementTable {
  private static final long SECOND = 1_000_000;
  private static final List<String> POLICIES = List.of("lemondeal", "rendezvous", "modulo", "carp", "ring", "maglev");

  private final int keys;
  private final double[] weights;

  PlacementTable(int keys, double[] weights) {
    this.keys = keys;
    this.weights = weights.clone();
  }

  /** The table as Markdown. */
  String markdown() {
    double totalWeight = 0;
    for (double weight : weights) {
      totalWeight += weight;
    }
    int lastIndex = weights.length - 1;
    double[] withoutFirst = weights.clone();
    withoutFirst[0] = 0;
    double[] withNewServer = java.util.Arrays.copyOf(weights, weights.length + 1);
    withNewServer[weights.length] = weights[0];
    double[] withHeavierLast = weights.clone();
    withHeavierLast[lastIndex] *= 2;
    StringBuilder table = new StringBuilder(String.format(Locale.ROOT, """
        %d keys, %d servers. Shares: the largest deviation of a server's share of the keys from its share of the
        weights, relative to the latter. Moved: the share of all keys that are placed on another server than before.

        | policy | shares | moved: first leaves | moved: one joins | moved: last twice as heavy |
        | --- | --- | --- | --- | --- |
        | minimum | 0.000 | %.4f | %.4f | %.4f |
        """, keys, weights.length, weights[0] / totalWeight, weights[0] / (totalWeight + weights[0]),
        2 * weights[lastIndex] / (totalWeight + weights[lastIndex]) - weights[lastIndex] / totalWeight));
    for (String policy : POLICIES) {
      Map<String, String> before = placeKeys(policy, weights);
      table.append(String.format(Locale.ROOT, "| %s | %.3f | %.4f | %.4f | %.4f |%n", policy,
          largestShareError(before, totalWeight), movedShare(before, placeKeys(policy, withoutFirst)),
          movedShare(before, placeKeys(policy, withNewServer)),
          movedShare(before, placeKeys(policy, withHeavierLast))));
    }
    return table.toString();
  }

  private double largestShareError(Map<String, String> serverByKey, double totalWeight) {
    Map<String, Integer> counts = new HashMap<>();
    serverByKey.values().forEach(server -> counts.merge(server, 1, Integer::sum));
    double worst = 0;
    for (int i = 0; i < weights.length; i++) {
      double share = counts.getOrDefault(serverName(i), 0) / (double) keys;
      worst = Math.max(worst, Math.abs(share / (weights[i] / totalWeight) - 1));
    }
    return worst;
  }

  private double movedShare(Map<String, String> before, Map<String, String> after) {
    int movedKeys = 0;
    for (Map.Entry<String, String> entry : before.entrySet()) {
      movedKeys += entry.getValue().equals(after.get(entry.getKey())) ? 0 : 1;
    }
    return movedKeys / (double) keys;
  }

  private static String serverName(int index) {
    return "10.0.0." + index + ":80";
  }

  /** The server of each key, as placed by a proxy whose list has servers of these weights; 0 for a server left out. */
  private Map<String, String> placeKeys(String policy, double[] listedWeights) {
    Balancer module = Policies.byName(policy).create(0, null);
    Balancer.RequestClass requestClass = new Balancer.RequestClass(Balancer.Idempotency.SAFE, Balancer.DedupScope.ALL,
        0, SECOND, 2 * SECOND, 1, 0);
    module.on(0, new Start(1, new Balancer.Settings(0, 1, 0, List.of(requestClass), List.of(),
        new Balancer.Rules(20_000, SECOND, 4, 2 * SECOND, 1, 0, 0),
        new Balancer.Limits(1, true, false, false, false, true, SECOND, SECOND), new Balancer.Prices(0, 0, 0, 0, 0),
        Balancer.WeightMeaning.NOMINAL, true, false, false, false, false, 1)));
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < listedWeights.length; i++) {
      if (listedWeights[i] > 0) {
        entries.add(new ServerEntry(serverName(i), 0, 0, 0, 0, ServerState.READY, listedWeights[i]));
      }
    }
    module.on(0, new ServerList(1, ListKind.FULL, entries));
    Map<String, String> serverByKey = new HashMap<>();
    for (int i = 0; i < keys; i++) {
      String key = "key-" + i;
      // The requests are far enough apart that the previous one no longer has an effect.
      long now = (i + 1) * SECOND;
      for (Action action : module.on(now, new Arrived(new Request(key, now + 2 * SECOND, 0, key, null, Double.NaN,
          false, false, 0, false)))) {
        if (action instanceof Send send) {
          serverByKey.put(key, send.server());
          module.on(now + 1_000, new Established(key, 0, send.server(), 1_000));
          module.on(now + 2_000, new Ended(key, 0, send.server(), Outcome.SERVED, 2_000, true, null));
        }
      }
    }
    return serverByKey;
  }
}
