package lemondeal.fleet;

import java.io.IOException;
import java.util.Map;

/** Sends messages between the proxies of a fleet. Messages may be lost, and no call waits for one. */
public interface FleetTransport extends AutoCloseable {

  /** Receives messages on the transport's own threads. */
  interface Listener {
    /** {@code sender} is a proxy of the fleet, as far as the transport can verify. */
    void onMessage(String sender, byte[] message);

    /** The members that the transport itself considers reachable, for the log. */
    void onViewChange(String members);
  }

  /**
   * Starts to listen; returns at once.
   *
   * @throws IOException if it cannot listen on the address
   */
  void start(Listener listener) throws IOException;

  /** Sends the message to this proxy soon, unless a newer one replaces it before. Never blocks. */
  void sendLatest(String peer, FleetMessage message);

  /**
   * Replaces the connection to this proxy, over which this proxy's messages may not have arrived for long. Never
   * blocks.
   */
  void reconnect(String peer);

  /** Adds its counters. */
  void addTo(Map<String, Long> figures);

  @Override
  void close();
}
