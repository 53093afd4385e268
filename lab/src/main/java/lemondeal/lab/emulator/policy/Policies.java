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
import lemondeal.lab.emulator.PolicyMaker;
import lemondeal.module.DecisionModule;

/** The policies that an experiment may name: this project's own, and baselines as their literature has them. */
public final class Policies {
  private static final Map<String, PolicyMaker> BY_NAME = new LinkedHashMap<>();

  static {
    BY_NAME.put("lemondeal", (node, truth) -> new DecisionModule());
    BY_NAME.put("random", (node, truth) -> new RandomChoice());
    BY_NAME.put("round-robin", (node, truth) -> new RoundRobin());
    BY_NAME.put("least-connections", (node, truth) -> new Least(target -> target.open / target.weight));
    BY_NAME.put("two-choices", (node, truth) -> new TwoChoices());
    BY_NAME.put("rendezvous", (node, truth) -> new PlainRendezvous());
    BY_NAME.put("modulo", (node, truth) -> new Modulo());
    BY_NAME.put("carp", (node, truth) -> new Carp());
    BY_NAME.put("ring", (node, truth) -> new Ring(Double.POSITIVE_INFINITY));
    BY_NAME.put("ring-bounded", (node, truth) -> new Ring(1.25));
    BY_NAME.put("maglev", (node, truth) -> new Maglev());
    BY_NAME.put("full-knowledge", (node, truth) -> new FullKnowledge(truth));
  }

  private Policies() {}

  /** The names, this project's own first. */
  public static Set<String> names() {
    return BY_NAME.keySet();
  }

  /** Null where there is no such policy. */
  public static PolicyMaker named(String name) {
    return BY_NAME.get(name);
  }

  /** Any server in service, each as likely as its weight says. */
  static final class RandomChoice extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      double total = 0;
      for (Target target : ready()) {
        total += tried.contains(target.name) ? 0 : target.weight;
      }
      double draw = random.nextDouble() * total;
      Target last = null;
      for (Target target : ready()) {
        if (!tried.contains(target.name)) {
          last = target;
          draw -= target.weight;
          if (draw < 0) {
            return target;
          }
        }
      }
      return last;
    }
  }

  /** One after the other in the order of names, each proxy from a place of its own; weights are not looked at. */
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

  /** The one with the least of something; of those alike one by chance. */
  static class Least extends Baseline {
    private final ToDoubleFunction<Target> measure;

    Least(ToDoubleFunction<Target> measure) {
      this.measure = measure;
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      Target best = null;
      double least = Double.POSITIVE_INFINITY;
      int alike = 0;
      for (Target target : ready()) {
        if (!tried.contains(target.name)) {
          double value = measure.applyAsDouble(target);
          if (best == null || value < least) {
            best = target;
            least = value;
            alike = 1;
          } else if (value == least && random.nextInt(++alike) == 0) {
            best = target;
          }
        }
      }
      return best;
    }
  }

  /**
   * What full knowledge allows: the least used server that takes a set-up, by the true state of all, and clients sent away
   * from those that are asked for more than they can give while others have room.
   */
  static final class FullKnowledge extends Least {
    private static final double FULL = 0.9;

    private final PolicyMaker.Truth truth;

    FullKnowledge(PolicyMaker.Truth truth) {
      super(target -> truth.takes(target.name) ? truth.use(target.name) : Double.POSITIVE_INFINITY);
      this.truth = truth;
    }

    @Override
    double leaving(Target target) {
      double use = truth.use(target.name);
      double room = 0;
      for (Target other : ready()) {
        room += Math.max(0, FULL - truth.use(other.name)) * other.weight;
      }
      if (use <= FULL || room <= 0) {
        return 0;
      }
      return Double.isInfinite(use) ? 1 : Math.min(1 - FULL / use, room / (use * target.weight));
    }
  }

  /** The less loaded of two drawn by weight (Mitzenmacher, The power of two choices, 2001), by this proxy's own count. */
  static final class TwoChoices extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      List<Target> left = new ArrayList<>(ready());
      left.removeIf(target -> tried.contains(target.name));
      if (left.isEmpty()) {
        return null;
      }
      Target one = left.get(random.nextInt(left.size()));
      Target other = left.get(random.nextInt(left.size()));
      return other.open / other.weight < one.open / one.weight ? other : one;
    }
  }

  /** Weighted rendezvous hashing and nothing else: the first of the ranking, then the next. */
  static final class PlainRendezvous extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      long key = keyOf(request);
      Target best = null;
      double most = Double.NEGATIVE_INFINITY;
      for (Target target : ready()) {
        double score = -target.weight / StrictMath.log(Hashes.unit(Hashes.join(key, target.hash)));
        if (score > most && !tried.contains(target.name)) {
          most = score;
          best = target;
        }
      }
      return best;
    }
  }

  /** The first of a table's targets from the key's place on that was not tried; null where there is none. */
  private static Baseline.Target first(Baseline.Target[] table, long key, Set<String> tried) {
    int from = table.length == 0 ? 0 : (int) Math.floorMod(key, (long) table.length);
    for (int i = 0; i < table.length; i++) {
      Baseline.Target target = table[(from + i) % table.length];
      if (!tried.contains(target.name)) {
        return target;
      }
    }
    return null;
  }

  /** The key's hash modulo the weights, each server standing as often as its weight says: what every change shuffles. */
  static final class Modulo extends Baseline {
    private Target[] places = new Target[0];

    @Override
    void changed() {
      double least = ready().stream().mapToDouble(target -> target.weight).min().orElse(1);
      List<Target> all = new ArrayList<>();
      for (Target target : ready()) {
        for (int i = 0; i < Math.max(1, Math.round(target.weight / least)); i++) {
          all.add(target);
        }
      }
      places = all.toArray(new Target[0]);
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      return first(places, keyOf(request), tried);
    }
  }

  /** The hash of key and server times the server's share of the weights, as the weighted HRW draft describes CARP's way. */
  static final class Carp extends Baseline {
    @Override
    Target pick(Request request, Set<String> tried) {
      long key = keyOf(request);
      Target best = null;
      double most = Double.NEGATIVE_INFINITY;
      for (Target target : ready()) {
        // The common divisor of all shares changes no comparison and is left out.
        double score = target.weight * Hashes.unit(Hashes.join(key, target.hash));
        if (score > most && !tried.contains(target.name)) {
          most = score;
          best = target;
        }
      }
      return best;
    }
  }

  /**
   * Consistent hashing, 40 points a unit of weight (Karger et al., 1997), and with bounded loads (Mirrokni, Thorup,
   * Zadimoghaddam, 2018): the next server on the ring of whom this proxy has at most the bound times its share.
   */
  static final class Ring extends Baseline {
    private static final int POINTS = 40;

    private final double bound;
    private final TreeMap<Long, Target> ring = new TreeMap<>();

    /** @param bound times its share that a server gets at most; infinite for plain consistent hashing */
    Ring(double bound) {
      this.bound = bound;
    }

    @Override
    void changed() {
      ring.clear();
      for (Target target : ready()) {
        for (int point = 0; point < Math.max(1, Math.round(POINTS * target.weight)); point++) {
          ring.put(Hashes.join(target.hash, point), target);
        }
      }
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      double weights = 0;
      int open = 1;
      for (Target target : ready()) {
        weights += target.weight;
        open += target.open;
      }
      long from = keyOf(request);
      Target any = null;
      for (Map<Long, Target> part : List.of(ring.tailMap(from), ring.headMap(from))) {
        for (Target target : part.values()) {
          if (!tried.contains(target.name)) {
            any = any == null ? target : any;
            if (target.open + 1 <= Math.ceil(bound * open * target.weight / weights)) {
              return target;
            }
          }
        }
      }
      return any;
    }
  }

  /** Maglev's table (Eisenbud et al., 2016): each server takes its next free place in turn, by weight. */
  static final class Maglev extends Baseline {
    /** A prime, and the same for any list: a table of another size would move nearly every key. */
    private static final int SIZE = 65_537;

    private Target[] table = new Target[0];

    @Override
    void changed() {
      List<Target> targets = new ArrayList<>(ready());
      if (targets.isEmpty()) {
        table = new Target[0];
        return;
      }
      targets.sort(Comparator.comparing(target -> target.name));
      double heaviest = targets.stream().mapToDouble(target -> target.weight).max().orElse(1);
      Target[] fresh = new Target[SIZE];
      int[] next = new int[targets.size()];
      double[] credit = new double[targets.size()];
      for (int filled = 0; filled < SIZE; ) {
        for (int i = 0; i < targets.size() && filled < SIZE; i++) {
          credit[i] += targets.get(i).weight / heaviest;
          if (credit[i] >= 1) {
            credit[i] -= 1;
            long hash = targets.get(i).hash;
            int offset = (int) Math.floorMod(hash, (long) SIZE);
            int skip = (int) Math.floorMod(Hashes.join(hash, 1), (long) SIZE - 1) + 1;
            int place;
            do {
              place = (int) ((offset + (long) next[i]++ * skip) % SIZE);
            } while (fresh[place] != null);
            fresh[place] = targets.get(i);
            filled++;
          }
        }
      }
      table = fresh;
    }

    /** How many places this server has: for a test. */
    long places(String name) {
      return Arrays.stream(table).filter(target -> target.name.equals(name)).count();
    }

    @Override
    Target pick(Request request, Set<String> tried) {
      return first(table, keyOf(request), tried);
    }
  }
}
