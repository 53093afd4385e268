package lemondeal.resume;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import lemondeal.claims.Claims;
import lemondeal.codec.OpenLine;

/** What all connections of this proxy that can resume work with. On the I/O thread, but for {@link #use}. */
public final class Resumption implements AutoCloseable {
  private static final int SESSION_BYTES = 16;

  private final ResumeSettings settings;
  private final Claims claims;
  private final LongSupplier millis;
  private final SecureRandom random = new SecureRandom();
  private final TokenCodec codec = new TokenCodec();
  private final String name;
  private final Map<String, Long> counts = new TreeMap<>();
  private volatile KeyRing keys;
  private long holders;
  private int held;

  /**
   * @param name of this proxy, for claims
   * @param millis Unix time
   */
  public Resumption(ResumeSettings settings, KeyRing keys, Claims claims, String name, LongSupplier millis) {
    this.settings = settings;
    this.keys = keys;
    this.claims = claims;
    this.millis = millis;
    // A proxy that comes back under its name must not take a claim of its own earlier life for its own.
    this.name = name + "/" + newSession().substring(0, 8) + "/";
  }

  /** Takes over other keys; may be called on any thread. */
  public void use(KeyRing fresh) {
    keys = fresh;
  }

  /** How a client's connection hangs together with others: not at all, unless both sides have asked for it. */
  public Continuity of(OpenLine open) {
    return open.isFlagSet("resume") && settings.classes().contains(open.value("c"))
        && open.value("at") == null ? new Resumable(this, open) : new Continuity.Plain(open);
  }

  ResumeSettings settings() {
    return settings;
  }

  Claims claims() {
    return claims;
  }

  TokenCodec codec() {
    return codec;
  }

  KeyRing keys() {
    return keys;
  }

  long now() {
    return millis.getAsLong();
  }

  String newSession() {
    byte[] bytes = new byte[SESSION_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }

  String newHolder() {
    return name + holders++;
  }

  /** Takes one of the places of connections that can resume; false if there is none. */
  boolean enter() {
    if (held >= settings.most()) {
      return false;
    }
    held++;
    return true;
  }

  void leave() {
    held--;
  }

  void count(String what) {
    counts.merge(what, 1L, Long::sum);
  }

  /** Adds every figure under its name. */
  public void addTo(Map<String, Long> figures) {
    Map<String, Long> mine = new LinkedHashMap<>();
    counts.forEach((what, count) -> mine.put("resume." + what, count));
    mine.put("resume.held", (long) held);
    figures.putAll(mine);
  }

  @Override
  public void close() {
    claims.close();
  }
}
