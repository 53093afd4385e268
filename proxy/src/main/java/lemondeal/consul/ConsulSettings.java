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
 * Where Consul is and what to query, from the section {@code discovery.consul} of the operator's file, validated.
 *
 * @param agents addresses of Consul's agents or servers, tried in turn
 * @param service the service's name
 * @param datacenter {@code dc}, empty for the agent's own
 * @param namespace {@code ns}, empty for the token's
 * @param partition {@code partition}, empty for the token's
 * @param consistency the consistency mode of the queries
 * @param near {@code near}, empty for none
 * @param filter a filter expression, validated at startup; empty for none
 * @param waitMillis how long a blocking query waits for a change
 * @param tokenFile the file with the ACL token, read at startup and on SIGHUP; null for none
 * @param tls null for plain HTTP
 * @param maxInstances maximum number of instances in one answer; a larger answer is rejected
 * @param maxBytes maximum size of one answer
 * @param savedList where the last good list is saved for a start while Consul is unavailable; null if it is not saved
 */
public record ConsulSettings(List<InetSocketAddress> agents, String service, String datacenter, String namespace,
    String partition, Consistency consistency, String near, String filter, long waitMillis, Path tokenFile,
    TlsFiles tls, MemberMapping mapping, Damping.Settings damping, ListGuard.Settings guard,
    PollBackoff.Settings backoff, int maxInstances, long maxBytes, ListFile.Settings savedList) {

  /** Identifies a saved list: the same for settings that list the same instances. */
  String listName() {
    return "consul " + service + (datacenter.isEmpty() ? "" : " dc=" + datacenter)
        + (namespace.isEmpty() ? "" : " ns=" + namespace) + (partition.isEmpty() ? "" : " partition=" + partition)
        + (filter.isEmpty() ? "" : " filter=" + filter);
  }

  /** Consul's consistency modes. */
  public enum Consistency {
    /** The leader answers, unless it has just lost its leadership. */
    DEFAULT,
    /** Any server answers; {@link ListGuard.Settings#maxStaleMillis()} limits its lag. */
    STALE,
    /** The leader answers after it has verified that it still leads. */
    CONSISTENT
  }
}
