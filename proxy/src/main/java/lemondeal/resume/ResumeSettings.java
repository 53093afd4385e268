package lemondeal.resume;

import java.util.Set;

/**
 * The validated section {@code resume} of the operator's file.
 *
 * @param classes the names of the classes whose clients may resume
 * @param tokenLifetimeMillis how long a token is valid
 * @param clockSkewMillis maximum difference between the proxies' clocks
 * @param checkpointMillis interval at which an established connection receives a new token
 * @param maxUnacknowledgedLines client lines that the server may leave unacknowledged; above it the client can't resume
 * @param maxConnections maximum number of resumable connections; further ones can't resume
 * @param claimLeaseMillis how long a claim is held unless committed or released; longer than any client's deadline
 * @param claimTimeoutMillis how long to wait for the answer to a claim
 * @param retryMillis retry delay for a client whose claim is held by another or unanswered
 */
public record ResumeSettings(Set<String> classes, long tokenLifetimeMillis, long clockSkewMillis, long checkpointMillis,
    int maxUnacknowledgedLines, int maxConnections, long claimLeaseMillis, long claimTimeoutMillis, long retryMillis) {}
