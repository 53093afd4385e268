package lemondeal.fleet;

import java.io.IOException;
import java.util.Map;

/** Carries letters between the proxies of a fleet. Letters may be lost, and none is ever waited for. */
public interface FleetLink extends AutoCloseable {

  /** Is told what comes, on threads of the link's own. */
  interface Ear {
    /** {@code sender} is a proxy of the fleet, as far as the link can tell. */
    void heard(String sender, byte[] letter);

    /** Who the link itself believes to be there, for the log. */
    void group(String members);
  }

  /** Begins to listen; returns at once. @throws IOException where the address can't be listened on */
  void start(Ear ear) throws IOException;

  /** Tells this proxy the letter soon, unless a newer one comes before. Never blocks. */
  void tell(String peer, Letter letter);

  /** Connects anew to this proxy, which has not heard this one for long. Never blocks. */
  void redial(String peer);

  /** Adds its counters. */
  void addTo(Map<String, Long> figures);

  @Override
  void close();
}
