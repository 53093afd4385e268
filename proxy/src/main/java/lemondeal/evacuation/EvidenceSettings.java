package lemondeal.evacuation;

/**
 * Thresholds for observations. All times are milliseconds.
 *
 * @param minOutage failures must span this long without any response; shorter outages cause no evacuation
 * @param observationTtl older observations are ignored
 * @param minFailures fewer failures in a zone are no evidence: on a link that loses 30 % of the lines, several fail in
 *     a row
 * @param staleListAge a server list older than this may still contain servers that no longer exist
 */
public record EvidenceSettings(long minOutage, long observationTtl, int minFailures, long staleListAge) {
  public static final EvidenceSettings DEFAULT = new EvidenceSettings(1_000, 3_000, 4, 3_500);
}
