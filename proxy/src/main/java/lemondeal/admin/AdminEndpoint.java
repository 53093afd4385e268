package lemondeal.admin;

import java.util.Map;
import lemondeal.config.Limits;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;

/**
 * The second address, for the operators' staff: a connection brings one line and gets one reply. Its connections are
 * bounded and timed by themselves; beyond the bound the oldest goes, so that whoever keeps one for nothing shuts nobody
 * out.
 */
public final class AdminEndpoint {

  /** What can be asked of this process, on the I/O thread. */
  public interface ProcessStatus {
    /** Whether this process can serve clients. */
    boolean isReady();

    /** Every figure under its name. */
    Map<String, Long> metrics();
  }

  private static final String READY = "ready";
  private static final String SHOW_STAT = "show-stat";

  /**
   * Kept free for one just accepted. Guards against a full table that stops the library's accepting: it goes on only
   * when a second connection has closed, and callers without a call once shut all others out for their five seconds.
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
