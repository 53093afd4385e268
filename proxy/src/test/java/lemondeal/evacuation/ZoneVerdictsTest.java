package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

/** The decision table, a row a case: observations go through the watch, never straight into the judge. */
class ZoneVerdictsTest {
  private static final EvidenceSettings SETTINGS = EvidenceSettings.DEFAULT;
  private static final int MEMBERS = 5;

  /** One thing that happens to one server. */
  private record Step(long at, String server, String kind) {}

  @ParameterizedTest(name = "{0}")
  @CsvFileSource(resources = "/conformance/zone-verdicts.csv", numLinesToSkip = 1)
  void judges(String name, int mine, String servers, String happens, long listAge, long at, int judged, String peers,
      Verdict local, Verdict pooled, String votes) {
    ZoneWatch watch = new ZoneWatch(SETTINGS);
    String[] counts = servers.split("/");
    for (int zone = 0; zone < counts.length; zone++) {
      for (int server = 0; server < Integer.parseInt(counts[zone]); server++) {
        watch.ready(zone + "." + server, zone);
      }
    }
    watch.listed(at - listAge);
    List<Step> steps = steps(happens);
    steps.sort(java.util.Comparator.comparingLong(Step::at));
    steps.stream().filter(step -> step.at() <= at).forEach(step -> play(watch, step));
    Map<Integer, Verdict> verdicts = Verdicts.local(mine, watch.zones(at), watch.listAge(at), SETTINGS);
    Verdict own = verdicts.get(judged);
    assertEquals(local, own, () -> "local: " + watch.zones(at));
    assertEquals(pooled, Verdicts.pooled(own, mine, voices(peers), MEMBERS, 2), "pooled");
    assertEquals(votes, own.asksToLeave() ? "yes" : "no", "votes");
  }

  private static List<Step> steps(String happens) {
    List<Step> steps = new ArrayList<>();
    for (String part : happens.split(" ")) {
      String[] f = part.split("[.:-]");
      for (int server = Integer.parseInt(f[1]); server <= Integer.parseInt(f[2]); server++) {
        for (long at = Long.parseLong(f[4]); at <= Long.parseLong(f[5]); at += Long.parseLong(f[6])) {
          steps.add(new Step(at, f[0] + "." + server, f[3]));
        }
      }
    }
    return steps;
  }

  private static void play(ZoneWatch watch, Step step) {
    switch (step.kind()) {
      case "ok" -> watch.word(step.server(), step.at());
      case "late" -> watch.late(step.server(), step.at());
      case "silent" -> watch.silent(step.server(), 300, step.at());
      case "shut" -> watch.shut(step.server(), step.at());
      case "lost" -> watch.lost(step.server(), step.at());
      default -> throw new IllegalArgumentException(step.kind());
    }
  }

  private static List<Verdicts.Voice> voices(String peers) {
    List<Verdicts.Voice> voices = new ArrayList<>();
    for (String peer : peers.split(" ")) {
      Seen seen = switch (peer.charAt(2)) {
        case 'U' -> Seen.UNREACHED;
        case 'R' -> Seen.REACHED;
        case 'P' -> Seen.PARTLY;
        case 'L' -> Seen.LATE;
        default -> Seen.UNKNOWN;
      };
      voices.add(new Verdicts.Voice(peer.charAt(0) - '0', seen));
    }
    return voices;
  }
}
