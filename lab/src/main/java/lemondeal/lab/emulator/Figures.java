package lemondeal.lab.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer.Outcome;
import org.HdrHistogram.Histogram;

/** The counters and measurements of a run, by class where needed. */
public final class Figures {
  private static final double SAMPLE_SECONDS = 0.25;

  /** Counters of one client class. */
  private static final class ClassFigures {
    private long clients;
    private long setUps;
    private long refused;
    private long failed;
    private long moved;
    private long brokenOff;
    private long gaveUp;
    private double requested;
    private double served;
    private final Histogram setUpMicros = new Histogram(2);
  }

  private final Scenario scenario;
  private final List<ClassFigures> classes = new ArrayList<>();
  private final Map<Outcome, Long> outcomes = new LinkedHashMap<>();
  private final List<double[]> servedOverTime = new ArrayList<>();
  private long sentAttempts;
  private long crossZoneAttempts;
  private long probes;
  private double relativeDeviationSum;
  private double maxOverMeanSum;
  private double maxUtilization;
  private long samples;
  private long maxConnections;
  private double crossZoneSeconds;
  private double connectedSeconds;

  Figures(Scenario scenario) {
    this.scenario = scenario;
    scenario.classes().forEach(clientClass -> classes.add(new ClassFigures()));
  }

  void clientArrived(int classIndex) {
    classes.get(classIndex).clients++;
  }

  void setUpCompleted(int classIndex, long micros) {
    classes.get(classIndex).setUps++;
    classes.get(classIndex).setUpMicros.recordValue(Math.max(1, micros));
  }

  void rejected(int classIndex, boolean refused) {
    if (refused) {
      classes.get(classIndex).refused++;
    } else {
      classes.get(classIndex).failed++;
    }
  }

  void moved(int classIndex) {
    classes.get(classIndex).moved++;
  }

  void brokenOff(int classIndex, boolean gracefully) {
    if (!gracefully) {
      classes.get(classIndex).brokenOff++;
    }
  }

  void gaveUp(int classIndex) {
    classes.get(classIndex).gaveUp++;
  }

  void attemptSent(int classIndex, boolean crossZone) {
    sentAttempts++;
    crossZoneAttempts += crossZone ? 1 : 0;
  }

  void attemptEnded(Outcome outcome) {
    outcomes.merge(outcome, 1L, Long::sum);
  }

  void probeSent() {
    probes++;
  }

  /** Samples the state of all servers and clients, every {@link #SAMPLE_SECONDS}. */
  void sample(EventScheduler scheduler, List<Server> servers, long[] activeClientsByClass) {
    if (scheduler.now() < scenario.settleSeconds() * Scenario.SECOND) {
      return;
    }
    double requestedNow = 0;
    double servedNow = 0;
    for (int i = 0; i < classes.size(); i++) {
      double worth = scenario.classes().get(i).worth() * SAMPLE_SECONDS;
      classes.get(i).requested += activeClientsByClass[i] * worth;
      requestedNow += activeClientsByClass[i] * worth;
    }
    double utilizationSum = 0;
    double squaredUtilizationSum = 0;
    double maxServerUtilization = 0;
    int runningServers = 0;
    long openConnections = 0;
    for (Server server : servers) {
      server.update();
      openConnections += server.openConnections();
      for (int i = 0; i < classes.size(); i++) {
        if (server.openConnections(i) > 0) {
          Scenario.ClientClass clientClass = scenario.classes().get(i);
          double served = server.openConnections(i) * server.shareInTime(clientClass.messageLatencyTarget())
              * clientClass.worth() * SAMPLE_SECONDS;
          classes.get(i).served += served;
          servedNow += served;
        }
      }
      if (server.state() == Server.State.RUNNING) {
        double utilization = server.nominalUtilization();
        utilizationSum += utilization;
        squaredUtilizationSum += utilization * utilization;
        maxServerUtilization = Math.max(maxServerUtilization, utilization);
        runningServers++;
      }
    }
    for (Server server : servers) {
      for (Connection connection : server.openConnections() < 2000 ? server.connections() : List.<Connection>of()) {
        connectedSeconds += SAMPLE_SECONDS;
        crossZoneSeconds += connection.proxy().zone() != server.zone() ? SAMPLE_SECONDS : 0;
      }
    }
    maxConnections = Math.max(maxConnections, openConnections);
    if (runningServers > 0 && utilizationSum > 0) {
      double mean = utilizationSum / runningServers;
      relativeDeviationSum += Math.sqrt(Math.max(0, squaredUtilizationSum / runningServers - mean * mean)) / mean;
      maxOverMeanSum += maxServerUtilization / mean;
      maxUtilization = Math.max(maxUtilization, maxServerUtilization);
      samples++;
    }
    servedOverTime.add(new double[] {scheduler.now() / (double) Scenario.SECOND,
        requestedNow == 0 ? 1 : servedNow / requestedNow});
  }

  /** Samples over the whole run: the time in seconds, and the share of the requested worth that was served then. */
  public List<double[]> servedOverTime() {
    return servedOverTime;
  }

  private static double share(double part, double total) {
    return total <= 0 ? 0 : part / total;
  }

  /** All figures by name: shares between 0 and 1, times in milliseconds, and counts. */
  public Map<String, Double> byName() {
    Map<String, Double> figures = new LinkedHashMap<>();
    double requested = 0;
    double served = 0;
    long rejected = 0;
    long refused = 0;
    long failed = 0;
    long moved = 0;
    long brokenOff = 0;
    long gaveUp = 0;
    long clients = 0;
    Histogram setUps = new Histogram(2);
    for (ClassFigures classFigures : classes) {
      requested += classFigures.requested;
      served += classFigures.served;
      refused += classFigures.refused;
      failed += classFigures.failed;
      moved += classFigures.moved;
      brokenOff += classFigures.brokenOff;
      gaveUp += classFigures.gaveUp;
      clients += classFigures.clients;
      setUps.add(classFigures.setUpMicros);
    }
    rejected = refused + failed;
    figures.put("served", share(served, requested));
    figures.put("worst-10s", lowestTenSecondShare());
    figures.put("clients", (double) clients);
    figures.put("setups", (double) setUps.getTotalCount());
    figures.put("setup-p50-ms", setUps.getValueAtPercentile(50) / 1000.0);
    figures.put("setup-p99-ms", setUps.getValueAtPercentile(99) / 1000.0);
    figures.put("turned-away", share(rejected, rejected + setUps.getTotalCount()));
    figures.put("refused", (double) refused);
    figures.put("failed", (double) failed);
    figures.put("moved", (double) moved);
    figures.put("broken-off", (double) brokenOff);
    figures.put("gave-up", (double) gaveUp);
    figures.put("sends-per-setup", share(sentAttempts, setUps.getTotalCount()));
    figures.put("crossings", share(crossZoneAttempts, sentAttempts));
    figures.put("crossing-time", share(crossZoneSeconds, connectedSeconds));
    figures.put("probes", (double) probes);
    figures.put("spread", share(relativeDeviationSum, samples));
    figures.put("worst-over-mean", share(maxOverMeanSum, samples));
    figures.put("worst-use", maxUtilization);
    figures.put("most-connections", (double) maxConnections);
    for (Outcome outcome : Outcome.values()) {
      figures.put("ended-" + outcome.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'),
          (double) outcomes.getOrDefault(outcome, 0L));
    }
    for (int i = 0; i < classes.size(); i++) {
      figures.put("served-" + scenario.classes().get(i).name(), share(classes.get(i).served, classes.get(i).requested));
    }
    return figures;
  }

  private double lowestTenSecondShare() {
    int window = (int) Math.round(10 / SAMPLE_SECONDS);
    double lowest = 1;
    for (int start = 0; start + window <= servedOverTime.size(); start++) {
      double sum = 0;
      for (int i = start; i < start + window; i++) {
        sum += servedOverTime.get(i)[1];
      }
      lowest = Math.min(lowest, sum / window);
    }
    return lowest;
  }

  /** Microseconds between two samples. */
  static long sampleInterval() {
    return (long) (SAMPLE_SECONDS * Scenario.SECOND);
  }
}
