package lemondeal.fleet;

import java.io.IOException;
import java.util.Map;

/** Carries letters between the proxies of a fleet. Letters may be lost, and none is ever waited for. */
public interface FleetTransport extends AutoCloseable {

  /** Is told what comes, on threads of the link's own. */
  interface Listener {
    /** {@code sender} is a proxy of the fleet, as far as the link can tell. */
    void onMessage(String sender, byte[] message);

    /** Who the link itself believes to be there, for the log. */
    void onViewChange(String members);
  }

  /** Begins to listen; returns at once. @throws IOException where the address can't be listened on */
  void start(Listener listener) throws IOException;

  /** Tells this proxy the letter soon, unless a newer one comes before. Never blocks. */
  void sendLatest(String peer, FleetMessage message);

  /** Connects anew to this proxy, which has not heard this one for long. Never blocks. */
  void reconnect(String peer);

  /** Adds its counters. */
  void addTo(Map<String, Long> figures);

  @Override
  void close();
}
