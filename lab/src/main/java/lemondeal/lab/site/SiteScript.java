package lemondeal.lab.site;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Faults between and of the proxies of a {@link FleetSite}, each at its time and over at its end. */
public record SiteScript(List<SiteFault> faults) {
  private static final long LONGEST_MILLIS = 3_000;

  /** Something to be done to the site. */
  private record Act(long atMillis, Deed deed) {}

  private interface Deed {
    void run() throws IOException, InterruptedException;
  }

  /** One fault a line, as {@link SiteFault#read} has it; lines without any are passed over. */
  public static SiteScript read(String lines) {
    return new SiteScript(lines.lines().map(String::strip).filter(line -> !line.isEmpty())
        .map(SiteFault::read).toList());
  }

  /** So many faults on single directions within the time, all over at its end. The same seed draws the same script. */
  public static SiteScript drawn(long seed, int proxies, int count, long withinMillis) {
    SplittableRandom random = new SplittableRandom(seed);
    List<String> kinds = List.of("cut %s", "stall %s", "delay %s by 100ms spread 300ms", "lose %s by 0.3",
        "throttle %s by 2000");
    List<SiteFault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int from = random.nextInt(proxies);
      int to = (from + 1 + random.nextInt(proxies - 1)) % proxies;
      long begin = random.nextLong(withinMillis - 1);
      long length = Math.min(withinMillis - begin, 1 + random.nextLong(LONGEST_MILLIS));
      faults.add(SiteFault.read("at " + begin + "ms " + kinds.get(random.nextInt(kinds.size()))
          .formatted("n" + from + " to n" + to) + " for " + length + "ms"));
    }
    return new SiteScript(faults);
  }

  /** Plays it on the site; returns when all of it is over. What has no end stays as it is. */
  public void play(FleetSite site) throws IOException, InterruptedException {
    List<Act> acts = new ArrayList<>();
    for (SiteFault fault : faults) {
      acts.add(new Act(fault.atMillis(), () -> begin(fault, site)));
      if (fault.lengthMillis() > 0) {
        acts.add(new Act(fault.atMillis() + fault.lengthMillis(), () -> end(fault, site)));
      }
    }
    acts.sort(Comparator.comparingLong(Act::atMillis));
    long started = System.nanoTime();
    for (Act act : acts) {
      Thread.sleep(Math.max(0, act.atMillis() - (System.nanoTime() - started) / 1_000_000));
      act.deed().run();
    }
  }

  private static void begin(SiteFault fault, FleetSite site) throws IOException, InterruptedException {
    switch (fault.kind()) {
      case STOP -> each(fault.from(), site, i -> site.signal(i, "STOP"));
      case KILL -> each(fault.from(), site, i -> site.proxy(i).kill());
      default -> let(fault, site, fault.passage());
    }
  }

  private static void end(SiteFault fault, FleetSite site) throws IOException, InterruptedException {
    switch (fault.kind()) {
      case STOP -> each(fault.from(), site, i -> site.signal(i, "CONT"));
      case KILL -> each(fault.from(), site, site::start);
      default -> let(fault, site, Passage.OPEN);
    }
  }

  private interface Each {
    void on(int proxy) throws IOException, InterruptedException;
  }

  private static void each(List<Integer> proxies, FleetSite site, Each deed) throws IOException, InterruptedException {
    for (int i = 0; i < site.size(); i++) {
      if (proxies.isEmpty() || proxies.contains(i)) {
        deed.on(i);
      }
    }
  }

  private static void let(SiteFault fault, FleetSite site, Passage passage) {
    for (int from = 0; from < site.size(); from++) {
      for (int to = 0; to < site.size(); to++) {
        if (from != to && fault.concerns(from, to)) {
          site.relay(from, to).let(passage);
        }
      }
    }
  }
}
