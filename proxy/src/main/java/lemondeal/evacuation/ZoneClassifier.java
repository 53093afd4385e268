package lemondeal.evacuation;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Classifies observations of zones: first those of this proxy alone, then with those of its peers. Stateless. To a
 * single proxy, a failed zone and a broken network path to it look alike; only observations from several zones
 * distinguish them.
 */
public final class ZoneClassifier {
  private ZoneClassifier() {}

  /**
   * A live peer's observation of a zone.
   *
   * @param vantage the zone in which the peer runs
   */
  public record PeerObservation(int vantage, Reachability reachability) {}

  /**
   * Diagnoses every zone with ready servers from this proxy's observations; {@code ownZone} is the zone in which it
   * runs.
   */
  public static Map<Integer, ZoneDiagnosis> classifyLocally(int ownZone, Map<Integer, ZoneEvidence> zones, long listAge,
      EvidenceSettings settings) {
    Map<Integer, Reachability> reachability = new TreeMap<>();
    zones.forEach((zone, evidence) -> reachability.put(zone, evidence.reachability(settings)));
    Map<Integer, ZoneDiagnosis> diagnoses = new TreeMap<>();
    zones.forEach((zone, evidence) -> diagnoses.put(zone,
        reachability.get(zone) == Reachability.UNREACHED ? classifyUnreached(ownZone, reachability)
            : classifyOther(reachability.get(zone), evidence, listAge > settings.staleListAge())));
    return diagnoses;
  }

  private static ZoneDiagnosis classifyUnreached(int ownZone, Map<Integer, Reachability> reachability) {
    boolean ownZoneResponds = reachability.getOrDefault(ownZone, Reachability.UNKNOWN).isResponding();
    long responding = reachability.values().stream().filter(Reachability::isResponding).count();
    long unreached = reachability.values().stream().filter(value -> value == Reachability.UNREACHED).count();
    if (responding == 0) {
      return ZoneDiagnosis.I_AM_CUT_OFF;
    }
    return ownZoneResponds && responding == 1 && unreached > 1 ? ZoneDiagnosis.MY_ZONE_CUT_OFF
        : ZoneDiagnosis.UNREACHED_FROM_HERE;
  }

  private static ZoneDiagnosis classifyOther(Reachability reachability, ZoneEvidence evidence, boolean listStale) {
    return switch (reachability) {
      case UNKNOWN, UNREACHED -> ZoneDiagnosis.UNKNOWN;
      case LATE -> ZoneDiagnosis.OVERLOADED;
      case PARTLY -> listStale && evidence.allRefused() ? ZoneDiagnosis.DISCOVERY_LATE : ZoneDiagnosis.ONE_SERVER_FAILS;
      case REACHED -> listStale ? ZoneDiagnosis.DISCOVERY_LATE : ZoneDiagnosis.SOUND;
    };
  }

  /**
   * Diagnoses a zone with the observations of the peers.
   *
   * @param local this proxy's own diagnosis of the zone
   * @param ownZone the zone in which this proxy runs
   * @param peers what the live peers observe of the zone
   * @param memberCount number of configured proxies; a majority is of these, not of the live ones
   * @param requiredVantages number of different zones that must agree
   */
  public static ZoneDiagnosis classifyWithPeers(ZoneDiagnosis local, int ownZone, Collection<PeerObservation> peers,
      int memberCount, int requiredVantages) {
    boolean unreachedHere = local.supportsEvacuation() || local == ZoneDiagnosis.I_AM_CUT_OFF
        || local == ZoneDiagnosis.MY_ZONE_CUT_OFF;
    long unreachedCount = peers.stream().filter(peer -> peer.reachability() == Reachability.UNREACHED).count()
        + (local.supportsEvacuation() ? 1 : 0);
    long vantageCount = peers.stream().filter(peer -> peer.reachability() == Reachability.UNREACHED)
        .map(PeerObservation::vantage).distinct().count()
        + (local.supportsEvacuation() && peers.stream()
            .noneMatch(peer -> peer.reachability() == Reachability.UNREACHED && peer.vantage() == ownZone) ? 1 : 0);
    if (unreachedCount * 2 > memberCount && vantageCount >= requiredVantages) {
      return ZoneDiagnosis.ZONE_FAILS;
    }
    if (!unreachedHere) {
      return local;
    }
    if (peers.stream().anyMatch(peer -> peer.reachability().isResponding() && peer.vantage() == ownZone)) {
      return ZoneDiagnosis.I_AM_CUT_OFF;
    }
    return peers.stream().anyMatch(peer -> peer.reachability().isResponding()) ? ZoneDiagnosis.MY_ZONE_CUT_OFF : local;
  }
}
