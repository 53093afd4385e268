package lemondeal.evacuation;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the observations of zones are taken for: first from one place, then with what others see from theirs. Pure. From
 * one place a dead zone and a broken way to it look alike; only vantage zones together tell them apart.
 */
public final class ZoneClassifier {
  private ZoneClassifier() {}

  /**
   * What one live proxy says of a zone.
   *
   * @param vantage the zone that it stands in
   */
  public record PeerObservation(int vantage, Reachability reachability) {}

  /** What every zone with ready servers looks like from {@code own}, the zone that this proxy stands in. */
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
    long unreached = reachability.values().stream().filter(one -> one == Reachability.UNREACHED).count();
    if (responding == 0) {
      return ZoneDiagnosis.I_AM_CUT_OFF;
    }
    return ownZoneResponds && responding == 1 && unreached > 1 ? ZoneDiagnosis.MY_ZONE_CUT_OFF : ZoneDiagnosis.UNREACHED_FROM_HERE;
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
   * The judgement with what others see.
   *
   * @param mine this proxy's own verdict on the zone
   * @param own the zone that this proxy stands in
   * @param others what the live others say of the zone
   * @param members named proxies in all: a majority is of them, never of those in sight
   * @param vantages vantage zones that must agree
   */
  public static ZoneDiagnosis classifyWithPeers(ZoneDiagnosis local, int ownZone, Collection<PeerObservation> peers, int memberCount, int requiredVantages) {
    boolean unreachedHere = local.supportsEvacuation() || local == ZoneDiagnosis.I_AM_CUT_OFF || local == ZoneDiagnosis.MY_ZONE_CUT_OFF;
    long unreachedCount = peers.stream().filter(peer -> peer.reachability() == Reachability.UNREACHED).count()
        + (local.supportsEvacuation() ? 1 : 0);
    long vantageCount = peers.stream().filter(peer -> peer.reachability() == Reachability.UNREACHED).map(PeerObservation::vantage).distinct().count()
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
