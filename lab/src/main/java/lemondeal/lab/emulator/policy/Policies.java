package lemondeal.lab.emulator.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import lemondeal.Balancer.Request;
import lemondeal.lab.emulator.PolicyFactory;
import lemondeal.module.DecisionModule;

/** The policies that an experiment can name: this project's own, and baselines as described in the literature. */
public final class Policies {
  private static final Map<String, PolicyFactory> BY_NAME = new LinkedHashMap<>();

  static {
    BY_NAME.put("lemondeal", (proxyNumber, oracle) -> new DecisionModule());
    BY_NAME.put("random", (proxyNumber, oracle) -> new RandomChoice());
    BY_NAME.put("round-robin", (proxyNumber, oracle) -> new RoundRobin());
    BY_NAME.put("least-connections",
        (proxyNumber, oracle) -> new LowestMeasure(target -> target.openCount / target.weight));
    BY_NAME.put("two-choices", (proxyNumber, oracle) -> new TwoChoices());
    BY_NAME.put("rendezvous", (proxyNumber, oracle) -> new PlainRendezvous());
    BY_NAME.put("modulo", (proxyNumber, oracle) -> new Modulo());
    BY_NAME.put("carp", (proxyNumber, oracle) -> new Carp());
    BY_NAME.put("ring", (proxyNumber, oracle) -> new Ring(Double.POSITIVE_INFINITY));
    BY_NAME.put("ring-bounded", (proxyNumber, oracle) -> new Ring(1.25));
    BY_NAME.put("maglev", (proxyNumber, oracle) -> new Maglev());
    BY_NAME.put("full-knowledge", (proxyNumber, oracle) -> new FullKnowledge(oracle));
  }

  private Policies() {}

  /** The names of all policies, this project's own first. */
  public static Set<String> names() {
    return BY_NAME.keySet();
  }

  /** Null if there is no such policy. */
  public static PolicyFactory byName(String name) {
    return BY_NAME.get(name);
  }

  /** A random server, with a probability in proportion to its weight. */
  static final class RandomChoice extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      double total = 0;
      for (Target target : ready()) {
        total += tried.contains(target.name) ? 0 : target.weight;
      }
      double remaining = random.nextDouble() * total;
      Target last = null;
      for (Target target : ready()) {
        if (!tried.contains(target.name)) {
          last = target;
          remaining -= target.weight;
          if (remaining < 0) {
            return target;
          }
        }
      }
      return last;
    }
  }

  /** Round robin in the order of names, each proxy from its own random position; ignores weights. */
  static final class RoundRobin extends Baseline {
    private int next = -1;

    @Override
    Target pick(Request request, Set<String> tried) {
      next = next < 0 ? random.nextInt(Integer.MAX_VALUE) : next;
      for (int i = 0; i < ready().size(); i++) {
        next = next == Integer.MAX_VALUE ? 0 : next + 1;
        Target target = ready().get(next % ready().size());
        if (!tried.contains(target.name)) {
          return target;
        }
      }
      return null;
    }
  }

  /** The server with the lowest value of a measure; a random one in case of a tie. */
  static class LowestMeasure extends Baseline {
    private final ToDoubleFunction<Target> measure;

    LowestMeasure(ToDoubleFunction<Target> measure) {
      this.measure = measure;
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      Target best = null;
      double lowest = Double.POSITIVE_INFINITY;
      int ties = 0;
      for (Target target : ready()) {
        if (!tried.contains(target.name)) {
          double value = measure.applyAsDouble(target);
          if (best == null || value < lowest) {
            best = target;
            lowest = value;
            ties = 1;
          } else if (value == lowest && random.nextInt(++ties) == 0) {
            best = target;
          }
        }
      }
      return best;
    }
  }

  /**
   * What full knowledge allows: chooses the least utilized server that accepts a set-up, by the true state of all
   * servers, and moves clients away from overloaded servers while others have free capacity.
   */
  static final class FullKnowledge extends LowestMeasure {
    private static final double TARGET_UTILIZATION = 0.9;

    private final PolicyFactory.Oracle oracle;

    FullKnowledge(PolicyFactory.Oracle oracle) {
      super(target -> oracle.acceptsSetUp(target.name) ? oracle.utilization(target.name) : Double.POSITIVE_INFINITY);
      this.oracle = oracle;
    }

    @Override
    double shareToMove(Target target) {
      double utilization = oracle.utilization(target.name);
      double freeCapacity = 0;
      for (Target other : ready()) {
        freeCapacity += Math.max(0, TARGET_UTILIZATION - oracle.utilization(other.name)) * other.weight;
      }
      if (utilization <= TARGET_UTILIZATION || freeCapacity <= 0) {
        return 0;
      }
      return Double.isInfinite(utilization) ? 1
          : Math.min(1 - TARGET_UTILIZATION / utilization, freeCapacity / (utilization * target.weight));
    }
  }

  /**
   * The less loaded of two random servers (Mitzenmacher, The power of two choices, 2001): the one with fewer of this
   * proxy's connections and attempts for its weight.
   */
  static final class TwoChoices extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      List<Target> candidates = new ArrayList<>(ready());
      candidates.removeIf(target -> tried.contains(target.name));
      if (candidates.isEmpty()) {
        return null;
      }
      Target first = candidates.get(random.nextInt(candidates.size()));
      Target second = candidates.get(random.nextInt(candidates.size()));
      return second.openCount / second.weight < first.openCount / first.weight ? second : first;
    }
  }

  /** Plain weighted rendezvous hashing: the first server of the ranking, then the next. */
  static final class PlainRendezvous extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      long key = keyHash(request);
      Target best = null;
      double highest = Double.NEGATIVE_INFINITY;
      for (Target target : ready()) {
        double score = -target.weight / StrictMath.log(Hashes.toUnitInterval(Hashes.combine(key, target.hash)));
        if (score > highest && !tried.contains(target.name)) {
          highest = score;
          best = target;
        }
      }
      return best;
    }
  }

  /** The first untried server of a table, starting at the key's index; null if there is none. */
  private static Baseline.Target firstUntried(Baseline.Target[] table, long key, Set<String> tried) {
    int start = table.length == 0 ? 0 : (int) Math.floorMod(key, (long) table.length);
    for (int i = 0; i < table.length; i++) {
      Baseline.Target target = table[(start + i) % table.length];
      if (!tried.contains(target.name)) {
        return target;
      }
    }
    return null;
  }

  /**
   * The key's hash modulo the size of a table that contains each server in proportion to its weight. Any change of the
   * servers remaps most keys.
   */
  static final class Modulo extends Baseline {
    private Target[] table = new Target[0];

    @Override
    void readyServersChanged() {
      double lowestWeight = ready().stream().mapToDouble(target -> target.weight).min().orElse(1);
      List<Target> entries = new ArrayList<>();
      for (Target target : ready()) {
        for (int i = 0; i < Math.max(1, Math.round(target.weight / lowestWeight)); i++) {
          entries.add(target);
        }
      }
      table = entries.toArray(new Target[0]);
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      return firstUntried(table, keyHash(request), tried);
    }
  }

  /**
   * The highest product of the hash of key and server and the server's share of the weights, as the weighted HRW draft
   * describes CARP.
   */
  static final class Carp extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      long key = keyHash(request);
      Target best = null;
      double highest = Double.NEGATIVE_INFINITY;
      for (Target target : ready()) {
        // The weight replaces its share: the common divisor of all shares does not affect the comparison.
        double score = target.weight * Hashes.toUnitInterval(Hashes.combine(key, target.hash));
        if (score > highest && !tried.contains(target.name)) {
          highest = score;
          best = target;
        }
      }
      return best;
    }
  }

  /**
   * Consistent hashing with 40 points on the ring for each unit of weight (Karger et al., 1997), optionally with
   * bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018): the next server on the ring that has no more of this
   * proxy's connections than the bound times its share.
   */
  static final class Ring extends Baseline {
    private static final int POINTS = 40;

    private final double bound;
    private final TreeMap<Long, Target> ring = new TreeMap<>();

    /** @param bound largest multiple of its share that a server gets; infinite for plain consistent hashing */
    Ring(double bound) {
      this.bound = bound;
    }

    @Override
    void readyServersChanged() {
      ring.clear();
      for (Target target : ready()) {
        for (int point = 0; point < Math.max(1, Math.round(POINTS * target.weight)); point++) {
          ring.put(Hashes.combine(target.hash, point), target);
        }
      }
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      double weights = 0;
      int connections = 1;
      for (Target target : ready()) {
        weights += target.weight;
        connections += target.openCount;
      }
      long keyHash = keyHash(request);
      Target fallback = null;
      for (Map<Long, Target> arc : List.of(ring.tailMap(keyHash), ring.headMap(keyHash))) {
        for (Target target : arc.values()) {
          if (!tried.contains(target.name)) {
            fallback = fallback == null ? target : fallback;
            if (target.openCount + 1 <= Math.ceil(bound * connections * target.weight / weights)) {
              return target;
            }
          }
        }
      }
      return fallback;
    }
  }

  /** Maglev's table (Eisenbud et al., 2016): the servers take their next free entries in turn, by weight. */
  static final class Maglev extends Baseline {
    /** A prime, and the same for any server list, because a table of another size would remap nearly every key. */
    private static final int SIZE = 65_537;

    private Target[] table = new Target[0];

    @Override
    void readyServersChanged() {
      List<Target> targets = new ArrayList<>(ready());
      if (targets.isEmpty()) {
        table = new Target[0];
        return;
      }
      targets.sort(Comparator.comparing(target -> target.name));
      double heaviest = targets.stream().mapToDouble(target -> target.weight).max().orElse(1);
      Target[] newTable = new Target[SIZE];
      int[] nextSteps = new int[targets.size()];
      double[] credit = new double[targets.size()];
      for (int filled = 0; filled < SIZE; ) {
        for (int i = 0; i < targets.size() && filled < SIZE; i++) {
          credit[i] += targets.get(i).weight / heaviest;
          if (credit[i] >= 1) {
            credit[i] -= 1;
            long hash = targets.get(i).hash;
            int offset = (int) Math.floorMod(hash, (long) SIZE);
            int skip = (int) Math.floorMod(Hashes.combine(hash, 1), (long) SIZE - 1) + 1;
            int index;
            do {
              index = (int) ((offset + (long) nextSteps[i]++ * skip) % SIZE);
            } while (newTable[index] != null);
            newTable[index] = targets.get(i);
            filled++;
          }
        }
      }
      table = newTable;
    }

    /** Number of table entries of this server; for tests. */
    long entryCount(String name) {
      return Arrays.stream(table).filter(target -> target.name.equals(name)).count();
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      return firstUntried(table, keyHash(request), tried);
    }
  }
}
