package lemondeal.lab.site;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Faults between proxies, each at its time. The same seed draws the same script. */
public record RelayScript(List<Step> steps) {
  private static final long LONGEST_MILLIS = 3_000;

  /**
   * From this time on, in milliseconds from the beginning, what {@code from} sends to {@code to} passes so.
   *
   * @param from a proxy's place, from 0
   */
  public record Step(long atMillis, int from, int to, Passage passage) {}

  public RelayScript {
    steps = steps.stream().sorted(Comparator.comparingLong(Step::atMillis)).toList();
  }

  /** So many faults of all kinds on single directions within the time, all over at its end. */
  public static RelayScript drawn(long seed, int proxies, int faults, long withinMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    List<Passage> kinds = List.of(Passage.CUT, Passage.STALLED, Passage.delayed(100, 300), Passage.lossy(0.3),
        Passage.slow(2_000));
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < faults; i++) {
      int from = random.nextInt(proxies);
      int to = (from + 1 + random.nextInt(proxies - 1)) % proxies;
      long begin = random.nextLong(withinMillis);
      steps.add(new Step(begin, from, to, kinds.get(random.nextInt(kinds.size()))));
      steps.add(new Step(Math.min(withinMillis, begin + random.nextLong(LONGEST_MILLIS)), from, to, Passage.OPEN));
    }
    for (int from = 0; from < proxies; from++) {
      for (int to = 0; to < proxies; to++) {
        if (from != to) {
          steps.add(new Step(withinMillis, from, to, Passage.OPEN));
        }
      }
    }
    return new RelayScript(steps);
  }

  /** Plays it; returns when it is over. */
  public void play(FleetSite site) throws InterruptedException {
    long begin = System.nanoTime();
    for (Step step : steps) {
      long wait = step.atMillis() - (System.nanoTime() - begin) / 1_000_000;
      if (wait > 0) {
        Thread.sleep(wait);
      }
      site.relay(step.from(), step.to()).let(step.passage());
    }
  }
}
