package lemondeal.consul;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lemondeal.config.TlsFiles;
import lemondeal.membership.PollBackoff;
import lemondeal.membership.Damping;
import lemondeal.membership.ListGuard;
import lemondeal.saved.ListFile;

/**
 * Where Consul is and what to ask it, from the section {@code discovery.consul} of the operator's file, checked.
 *
 * @param agents addresses of Consul's agents or servers, tried in turn
 * @param service the service's name
 * @param datacenter {@code dc}, empty for the agent's own
 * @param namespace {@code ns}, empty for the token's
 * @param partition {@code partition}, empty for the token's
 * @param consistency how fresh an answer must be
 * @param near {@code near}, empty for none
 * @param filter a filter expression, checked at the start; empty for none
 * @param waitMillis how long a blocking query waits for a change
 * @param tokenFile the file of the ACL token, read at the start and on SIGHUP; null for none
 * @param tls null for plain HTTP
 * @param mostInstances in one answer; one with more is not believed
 * @param mostBytes of one answer
 * @param saved where the last good list is kept for a start while Consul is away; null for nowhere
 */
public record ConsulSettings(List<InetSocketAddress> agents, String service, String datacenter, String namespace,
    String partition, Consistency consistency, String near, String filter, long waitMillis, Path tokenFile,
    TlsFiles tls, MemberMapping mapping, Damping.Settings damping, ListGuard.Settings guard, PollBackoff.Settings backoff,
    int maxInstances, long maxBytes, ListFile.Settings savedList) {

  /** Which list it is, for a saved one: the same for settings that list the same instances. */
  String listName() {
    return "consul " + service + (datacenter.isEmpty() ? "" : " dc=" + datacenter)
        + (namespace.isEmpty() ? "" : " ns=" + namespace) + (partition.isEmpty() ? "" : " partition=" + partition)
        + (filter.isEmpty() ? "" : " filter=" + filter);
  }

  /** Consul's modes of consistency. */
  public enum Consistency {
    /** The leader answers, unless it just lost its leadership. */
    DEFAULT,
    /** Any server answers; {@link ListGuard.Settings#staleMost()} bounds how far behind. */
    STALE,
    /** The leader answers after it has made sure that it still leads. */
    CONSISTENT
  }
}
