package lemondeal.resume;

import java.util.Set;

/**
 * The operator's {@code resume} section, checked.
 *
 * @param classes the names of the classes whose clients may resume
 * @param life how long a token is good, milliseconds
 * @param skew how far the proxies' clocks may lie apart, milliseconds
 * @param checkpoint how often a standing connection is given a new token, milliseconds
 * @param window lines of a client that its server has not acknowledged; with one more it can't resume any longer
 * @param most connections that can resume at once; with one more, that one can't
 * @param lease how long a claim holds unless it is settled, milliseconds; longer than any deadline of a client
 * @param patience how long a claim's answer is waited for, milliseconds
 * @param retry when a client is to come again whose claim can't be answered, milliseconds
 */
public record ResumeSettings(Set<String> classes, long tokenLifetimeMillis, long clockSkewMillis, long checkpointMillis, int maxUnacknowledgedLines, int maxConnections, long claimLeaseMillis,
    long claimTimeoutMillis, long retryMillis) {}
