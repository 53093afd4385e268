package lemondeal.resume;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import lemondeal.claims.ClaimService;
import lemondeal.codec.OpenLine;

/**
 * What all resumable connections of this proxy share: settings, keys, claims and counters. Confined to the event loop
 * thread, except {@link #replaceKeys}.
 */
public final class ResumptionContext implements AutoCloseable {
  private static final int SESSION_BYTES = 16;

  private final ResumeSettings settings;
  private final ClaimService claims;
  private final LongSupplier unixMillis;
  private final SecureRandom random = new SecureRandom();
  private final TokenCodec codec = new TokenCodec();
  private final String holderPrefix;
  private final Map<String, Long> counters = new TreeMap<>();
  private volatile KeyRing keys;
  private long holderCount;
  private int resumableConnections;

  /**
   * @param proxyName identifies this proxy in claims
   * @param unixMillis the wall clock
   */
  public ResumptionContext(ResumeSettings settings, KeyRing keys, ClaimService claims, String proxyName,
      LongSupplier unixMillis) {
    this.settings = settings;
    this.keys = keys;
    this.claims = claims;
    this.unixMillis = unixMillis;
    // After a restart, a proxy must not mistake a claim of its previous process for its own.
    this.holderPrefix = proxyName + "/" + newSessionId().substring(0, 8) + "/";
  }

  /** May be called on any thread. */
  public void replaceKeys(KeyRing newKeys) {
    keys = newKeys;
  }

  /** Resumable only if the client asks for it, its class allows it, and it does not adopt an existing connection. */
  public SessionContinuity continuityOf(OpenLine openLine) {
    return openLine.isFlagSet("resume") && settings.classes().contains(openLine.value("c"))
        && openLine.value("at") == null
        ? new ResumableSession(this, openLine) : new SessionContinuity.NonResumable(openLine);
  }

  ResumeSettings settings() {
    return settings;
  }

  ClaimService claims() {
    return claims;
  }

  TokenCodec codec() {
    return codec;
  }

  KeyRing keys() {
    return keys;
  }

  long now() {
    return unixMillis.getAsLong();
  }

  String newSessionId() {
    byte[] bytes = new byte[SESSION_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  String newHolderId() {
    return holderPrefix + holderCount++;
  }

  /** Acquires a permit for a resumable connection; returns false if the maximum number of them is reached. */
  boolean tryAcquirePermit() {
    if (resumableConnections >= settings.maxConnections()) {
      return false;
    }
    resumableConnections++;
    return true;
  }

  void releasePermit() {
    resumableConnections--;
  }

  void count(String counter) {
    counters.merge(counter, 1L, Long::sum);
  }

  /** Adds the counters and the number of resumable connections, each under its metric name. */
  public void addTo(Map<String, Long> figures) {
    Map<String, Long> ownFigures = new LinkedHashMap<>();
    counters.forEach((counter, count) -> ownFigures.put("resume." + counter, count));
    ownFigures.put("resume.held", (long) resumableConnections);
    figures.putAll(ownFigures);
  }

  @Override
  public void close() {
    claims.close();
  }
}
