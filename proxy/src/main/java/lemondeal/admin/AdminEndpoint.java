package lemondeal.admin;

import java.util.Map;
import lemondeal.config.Limits;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;

/**
 * The admin endpoint on the proxy's second address, for operators: a connection sends one command and gets one reply.
 * These connections have their own limit and timeouts; a new one evicts the oldest, so that idle connections lock
 * nobody out.
 */
public final class AdminEndpoint {

  /** The state that the endpoint reports, read on the I/O thread. */
  public interface ProcessStatus {
    /** Whether this process can serve clients. */
    boolean isReady();

    /** All metrics by name. */
    Map<String, Long> metrics();
  }

  private static final String READY = "ready";
  private static final String SHOW_STAT = "show-stat";

  /**
   * Capacity reserved for a connection that was just accepted. At the connection limit XNIO stops accepting and resumes
   * only when a second connection has closed, so connections without a command once locked out all others for 5 s.
   */
  private static final int RESERVED_CONNECTIONS = 1;

  private final Limits limits;
  private final ProcessStatus status;
  private final EvictingSet<AdminConnection> connections;

  public AdminEndpoint(Limits limits, ProcessStatus status) {
    this.limits = limits;
    this.status = status;
    connections = new EvictingSet<>(() -> limits.maxAdminConnections() - RESERVED_CONNECTIONS, AdminConnection::close);
  }

  public void accepted(Link link) {
    new AdminConnection(limits, link, connections, this::reply).start();
  }

  private String reply(String command) {
    return switch (command.strip()) {
      case READY -> status.isReady() ? "200 yes\r\n" : "400 no\r\n";
      case SHOW_STAT -> formatMetrics();
      default -> "400 unknown call\r\n";
    };
  }

  private String formatMetrics() {
    StringBuilder text = new StringBuilder("200 figures\r\n");
    status.metrics().forEach((name, value) -> text.append(name).append('=').append(value).append("\r\n"));
    return text.append("EOF\r\n").toString();
  }
}
