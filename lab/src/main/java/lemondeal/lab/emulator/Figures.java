package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer.Outcome;
import org.HdrHistogram.Histogram;

/** What a run counts and measures, by class where that matters. */
public final class Figures {
  private static final double SAMPLE_SECONDS = 0.25;

  /** One class's. */
  private static final class OfClass {
    private long clients;
    private long setUps;
    private long refused;
    private long failed;
    private long moved;
    private long brokenOff;
    private long gaveUp;
    private double asked;
    private double served;
    private final Histogram setUpMicros = new Histogram(2);
  }

  private final Scenario scenario;
  private final List<OfClass> classes = new ArrayList<>();
  private final Map<Outcome, Long> outcomes = new LinkedHashMap<>();
  private final List<double[]> course = new ArrayList<>();
  private long sends;
  private long crossings;
  private long probes;
  private double spreadSum;
  private double worstSum;
  private double worstEver;
  private long samples;
  private long mostHeld;
  private double crossingSeconds;
  private double connectedSeconds;

  Figures(Scenario scenario) {
    this.scenario = scenario;
    scenario.classes().forEach(one -> classes.add(new OfClass()));
  }

  void client(int classIndex) {
    classes.get(classIndex).clients++;
  }

  void setUp(int classIndex, long micros) {
    classes.get(classIndex).setUps++;
    classes.get(classIndex).setUpMicros.recordValue(Math.max(1, micros));
  }

  void turnedAway(int classIndex, boolean refused) {
    if (refused) {
      classes.get(classIndex).refused++;
    } else {
      classes.get(classIndex).failed++;
    }
  }

  void moved(int classIndex) {
    classes.get(classIndex).moved++;
  }

  void brokenOff(int classIndex, boolean politely) {
    if (!politely) {
      classes.get(classIndex).brokenOff++;
    }
  }

  void gaveUp(int classIndex) {
    classes.get(classIndex).gaveUp++;
  }

  void sent(int classIndex, boolean crossing) {
    sends++;
    crossings += crossing ? 1 : 0;
  }

  void ended(Outcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }

  void probed() {
    probes++;
  }

  /** Looks at the whole world, every {@link #SAMPLE_SECONDS}. */
  void sample(Agenda agenda, List<Server> servers, long[] wanting) {
    if (agenda.now() < scenario.settle() * Scenario.SECOND) {
      return;
    }
    double askedNow = 0;
    double servedNow = 0;
    for (int i = 0; i < classes.size(); i++) {
      double worth = scenario.classes().get(i).worth() * SAMPLE_SECONDS;
      classes.get(i).asked += wanting[i] * worth;
      askedNow += wanting[i] * worth;
    }
    double sum = 0;
    double squares = 0;
    double worst = 0;
    int alive = 0;
    long held = 0;
    for (Server server : servers) {
      server.update();
      held += server.held();
      for (int i = 0; i < classes.size(); i++) {
        if (server.held(i) > 0) {
          Scenario.ClientClass kind = scenario.classes().get(i);
          double served = server.held(i) * server.inTime(kind.messageAim()) * kind.worth() * SAMPLE_SECONDS;
          classes.get(i).served += served;
          servedNow += served;
        }
      }
      if (server.state() == Server.State.RUNNING) {
        double use = server.loadShare();
        sum += use;
        squares += use * use;
        worst = Math.max(worst, use);
        alive++;
      }
    }
    for (Server server : servers) {
      for (Connection connection : server.held() < 2000 ? server.connections() : List.<Connection>of()) {
        connectedSeconds += SAMPLE_SECONDS;
        crossingSeconds += connection.proxy().zone() != server.zone() ? SAMPLE_SECONDS : 0;
      }
    }
    mostHeld = Math.max(mostHeld, held);
    if (alive > 0 && sum > 0) {
      double mean = sum / alive;
      spreadSum += Math.sqrt(Math.max(0, squares / alive - mean * mean)) / mean;
      worstSum += worst / mean;
      worstEver = Math.max(worstEver, worst);
      samples++;
    }
    course.add(new double[] {agenda.now() / (double) Scenario.SECOND, askedNow == 0 ? 1 : servedNow / askedNow});
  }

  /** Seconds and the share of the worth served around them, over the whole run. */
  public List<double[]> course() {
    return course;
  }

  private static double share(double part, double whole) {
    return whole <= 0 ? 0 : part / whole;
  }

  /** All figures by name: shares between 0 and 1, times in milliseconds, counts as they are. */
  public Map<String, Double> all() {
    Map<String, Double> all = new LinkedHashMap<>();
    double asked = 0;
    double served = 0;
    long turned = 0;
    long refused = 0;
    long failed = 0;
    long moved = 0;
    long broken = 0;
    long gaveUp = 0;
    long clients = 0;
    Histogram setUps = new Histogram(2);
    for (OfClass one : classes) {
      asked += one.asked;
      served += one.served;
      refused += one.refused;
      failed += one.failed;
      moved += one.moved;
      broken += one.brokenOff;
      gaveUp += one.gaveUp;
      clients += one.clients;
      setUps.add(one.setUpMicros);
    }
    turned = refused + failed;
    all.put("served", share(served, asked));
    all.put("worst-10s", worstTenSeconds());
    all.put("clients", (double) clients);
    all.put("setups", (double) setUps.getTotalCount());
    all.put("setup-p50-ms", setUps.getValueAtPercentile(50) / 1000.0);
    all.put("setup-p99-ms", setUps.getValueAtPercentile(99) / 1000.0);
    all.put("turned-away", share(turned, turned + setUps.getTotalCount()));
    all.put("refused", (double) refused);
    all.put("failed", (double) failed);
    all.put("moved", (double) moved);
    all.put("broken-off", (double) broken);
    all.put("gave-up", (double) gaveUp);
    all.put("sends-per-setup", share(sends, setUps.getTotalCount()));
    all.put("crossings", share(crossings, sends));
    all.put("crossing-time", share(crossingSeconds, connectedSeconds));
    all.put("probes", (double) probes);
    all.put("spread", share(spreadSum, samples));
    all.put("worst-over-mean", share(worstSum, samples));
    all.put("worst-use", worstEver);
    all.put("most-connections", (double) mostHeld);
    for (Outcome outcome : Outcome.values()) {
      all.put("ended-" + outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
          (double) outcomes.getOrDefault(outcome, 0L));
    }
    for (int i = 0; i < classes.size(); i++) {
      all.put("served-" + scenario.classes().get(i).name(), share(classes.get(i).served, classes.get(i).asked));
    }
    return all;
  }

  private double worstTenSeconds() {
    int window = (int) Math.round(10 / SAMPLE_SECONDS);
    double worst = 1;
    for (int from = 0; from + window <= course.size(); from++) {
      double sum = 0;
      for (int i = from; i < from + window; i++) {
        sum += course.get(i)[1];
      }
      worst = Math.min(worst, sum / window);
    }
    return worst;
  }

  /** Microseconds between two samples. */
  static long sampleEvery() {
    return (long) (SAMPLE_SECONDS * Scenario.SECOND);
  }
}
