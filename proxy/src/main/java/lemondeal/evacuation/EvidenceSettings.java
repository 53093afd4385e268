package lemondeal.evacuation;

/**
 * When observations count. All times are milliseconds.
 *
 * @param blip failures must span this long, and no word may have come in it: shorter outages move nobody
 * @param recent observations older than this say nothing any more
 * @param failures fewer failures in a zone prove nothing: on a link that drops three lines in ten, some fail in a row
 * @param listLate a list older than this may call servers ready that are gone
 */
public record EvidenceSettings(long minOutage, long observationTtl, int minFailures, long staleListAge) {
  public static final EvidenceSettings DEFAULT = new EvidenceSettings(1_000, 3_000, 4, 3_500);
}
