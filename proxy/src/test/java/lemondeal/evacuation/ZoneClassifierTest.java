package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/**
 * The decision table of the zone diagnoses, one case per row. The observations go through the health tracker, as in
 * production.
 */
class ZoneClassifierTest {
  private static final EvidenceSettings SETTINGS = EvidenceSettings.DEFAULT;
  private static final int MEMBER_COUNT = 5;

  /** An event at one server. */
  private record Step(long at, String server, String kind) {}

  @ParameterizedTest(name = "{0}")
  @CsvFileSource(resources = "/conformance/zone-verdicts.csv", numLinesToSkip = 1)
  void classifies(String name, int ownZone, String servers, String events, long listAge, long at, int judgedZone,
      String peers, ZoneDiagnosis local, ZoneDiagnosis pooled, String votes) {
    ZoneHealthTracker healthTracker = new ZoneHealthTracker(SETTINGS);
    String[] counts = servers.split("/");
    for (int zone = 0; zone < counts.length; zone++) {
      for (int server = 0; server < Integer.parseInt(counts[zone]); server++) {
        healthTracker.serverReady(zone + "." + server, zone);
      }
    }
    healthTracker.listConfirmed(at - listAge);
    List<Step> steps = steps(events);
    steps.sort(java.util.Comparator.comparingLong(Step::at));
    steps.stream().filter(step -> step.at() <= at).forEach(step -> apply(healthTracker, step));
    Map<Integer, ZoneDiagnosis> diagnoses = ZoneClassifier.classifyLocally(ownZone, healthTracker.evidenceByZone(at),
        healthTracker.listAge(at), SETTINGS);
    ZoneDiagnosis ownDiagnosis = diagnoses.get(judgedZone);
    assertEquals(local, ownDiagnosis, () -> "local: " + healthTracker.evidenceByZone(at));
    assertEquals(pooled,
        ZoneClassifier.classifyWithPeers(ownDiagnosis, ownZone, peerObservations(peers), MEMBER_COUNT, 2), "pooled");
    assertEquals(votes, ownDiagnosis.supportsEvacuation() ? "yes" : "no", "votes");
  }

  private static List<Step> steps(String events) {
    List<Step> steps = new ArrayList<>();
    for (String part : events.split(" ")) {
      String[] fields = part.split("[.:-]");
      for (int server = Integer.parseInt(fields[1]); server <= Integer.parseInt(fields[2]); server++) {
        for (long at = Long.parseLong(fields[4]); at <= Long.parseLong(fields[5]); at += Long.parseLong(fields[6])) {
          steps.add(new Step(at, fields[0] + "." + server, fields[3]));
        }
      }
    }
    return steps;
  }

  private static void apply(ZoneHealthTracker healthTracker, Step step) {
    switch (step.kind()) {
      case "ok" -> healthTracker.recordResponse(step.server(), step.at());
      case "late" -> healthTracker.recordLate(step.server(), step.at());
      case "silent" -> healthTracker.recordTimeout(step.server(), 300, step.at());
      case "shut" -> healthTracker.recordRefused(step.server(), step.at());
      case "lost" -> healthTracker.recordLostConnection(step.server(), step.at());
      default -> throw new IllegalArgumentException(step.kind());
    }
  }

  private static List<ZoneClassifier.PeerObservation> peerObservations(String peers) {
    List<ZoneClassifier.PeerObservation> observations = new ArrayList<>();
    for (String peer : peers.split(" ")) {
      Reachability reachability = switch (peer.charAt(2)) {
        case 'U' -> Reachability.UNREACHED;
        case 'R' -> Reachability.REACHED;
        case 'P' -> Reachability.PARTLY;
        case 'L' -> Reachability.LATE;
        default -> Reachability.UNKNOWN;
      };
      observations.add(new ZoneClassifier.PeerObservation(peer.charAt(0) - '0', reachability));
    }
    return observations;
  }
}
