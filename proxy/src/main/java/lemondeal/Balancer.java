package lemondeal;

import java.util.List;

/**
 * The interface of the decision module: settings and events in, actions out. One instance serves one
 * node. Times are whole microseconds on the caller's clock; nothing else is read from outside.
 *
 * <p>The first event must be {@link Start}. An action takes effect at the moment of the call that
 * returned it, in the order of the list. An instance is not safe for use by several threads at once.
 */
public interface Balancer {

  /** Takes one event and returns what is to be done, possibly nothing. */
  List<Action> on(long now, Event event);

  /** How this instance stands to the servers of its list; asking changes nothing. */
  ServerSummary serverSummary(long now);

  /**
   * {@code listed}: discovery itself has told a list since the start. {@code known} servers are in the list, and
   * {@code avoided} of them get no new client on the ordinary path now.
   */
  record ServerSummary(boolean listReceived, int known, int avoided) {}

  // ---- Settings ------------------------------------------------------------------------------

  /** What repeating a request of a class may do. */
  enum Idempotency { SAFE, KEYED, UNSAFE }

  /** Which servers drop the repeats of a keyed request. */
  enum DedupScope { ALL, ZONE, CELL }

  /** What a server's weight means: always 1, its size, about its size, or its size over its load. */
  enum WeightMeaning { NONE, NOMINAL, ROUGH, LIVE }

  /** {@code messageAim} is the aim for a message on an open connection; 0 where there is none. */
  record RequestClass(Idempotency idempotency, DedupScope dedupScope, long dedupWindow, long latencyTarget, long deadline,
      double worth, long messageLatencyTarget) {}

  /** {@code share} is of the fleet; {@code openQuota} counts connections over all nodes, 0 = unknown. */
  record Tenant(double share, double requestsPerSecond, double connectionQuota) {}

  /** Figures of the four rules. {@code askEvery} is 0 where the list comes unasked. */
  record Rules(long answerSlack, long drainGrace, double overloadMultiple, long overloadWindow, double coldCapacityShare,
      long warmUpTime, long listPollInterval) {}

  record Limits(int maxAttempts, boolean mayCancel, boolean mayProbe, boolean mayMessagePeers,
      boolean mayRunParallelAttempts, boolean mayAdviseRetryAfter, long maxRetryAfter, long cpuPerSecond) {}

  /** Points of service taken off, by what is counted. */
  record Prices(double crossZone, double waste, double probe, double peer, double move) {}

  /**
   * {@code node} counts from 0 below {@code nodes}. {@code sharedGroups}: connections of a group share
   * work. {@code passThrough}: connections outlive their node and may arrive mid-flow at another.
   */
  record Settings(int nodeIndex, int nodeCount, int zone, List<RequestClass> classes, List<Tenant> tenants,
      Rules rules, Limits limits, Prices prices, WeightMeaning weightMeaning, boolean mustSubscribe,
      boolean groupsShareWork, boolean passThrough, boolean probesReportLoad, boolean worthIsPerWork,
      double overShareWorth) {}

  // ---- Events --------------------------------------------------------------------------------

  sealed interface Event {}

  record Start(long seed, Settings settings) implements Event {}

  /** FULL and SAVED hold every server (SAVED as this node last knew it); CHANGES only what changed. */
  enum ListKind { CHANGES, FULL, SAVED, FAILED }

  enum ServerState { READY, DRAINING, GONE }

  /** {@code startedAt} is 0 for long ago. */
  record ServerEntry(String server, int zone, int cell, int model, long startedAt, ServerState state,
      double weight) {}

  /** {@code fleet} counts from 0 where classes have servers of their own; all are one fleet otherwise. */
  record ServerList(long version, ListKind kind, List<ServerEntry> entries, int pool) implements Event {
    /** The list of the one fleet that there is. */
    public ServerList(long version, ListKind kind, List<ServerEntry> entries) {
      this(version, kind, entries, 0);
    }
  }

  /** {@code key}, {@code group}: null where absent. {@code cost}: usual load hint, NaN where absent. */
  record Request(String id, long due, int requestClass, String key, String group, double cost,
      boolean midFlow, boolean returned, int tenant, boolean clientRetry) {}

  record Arrived(Request request) implements Event {}

  /** A connection that already runs through this node as it starts; its attempt 0 was made. */
  record Adopted(Request request, String server) implements Event {}

  /** The attempt's connection stands; it has no deadline from here on. */
  record Established(String id, int attempt, String server, long elapsed) implements Event {}

  /** How an attempt ended. The flag says whether the server may have acted on it. */
  enum Outcome {
    SERVED(true), ERROR(true), REFUSED(false), TIMED_OUT(true), NO_CONNECTION(false), RESET(true),
    CANCELLED(true), NOT_SENT(false);

    public final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }
  }

  /** A server's word on itself; NaN where it says nothing. {@code demand} is load over capacity. */
  record LoadReport(double demand, double backlogSeconds, double openConnections, double queued, double busy) {}

  /** {@code over}: no answer is owed any more. {@code report}: null where none came. */
  record Ended(String id, int attempt, String server, Outcome outcome, long elapsed, boolean requestFinished,
      LoadReport report) implements Event {}

  /** {@code load} of a connection now, in microseconds of work a second. */
  record LoadChanged(String id, int attempt, String server, double load) implements Event {}

  /** A message takes {@code millis} at this server now. */
  record MessageDelay(String id, int attempt, String server, double millis) implements Event {}

  /** A line at this server has waited long for its answer, and nothing has come from the server on any connection. */
  record Unanswered(String id, int attempt, String server) implements Event {}

  record ProbeResult(String server, Outcome outcome, long elapsed, LoadReport report) implements Event {}

  record PeerMessage(int from, String text) implements Event {}

  record Wake(long token) implements Event {}

  /** The client left, or the answer is overdue; none is owed any more. */
  record ClientGone(String id) implements Event {}

  /**
   * How far the fleet together opened a zone: {@code share} of the keys, 0 to 1, and at most {@code sends} attempts until
   * told again; a zone that was never told of is open. {@code leave} standing connections there are to be moved now.
   */
  record ZoneOpen(int zone, double keyShare, int maxSends, int connectionsToMove) implements Event {
    /** So many sends bound nothing. */
    public static final int UNLIMITED = Integer.MAX_VALUE;
  }

  // ---- Actions -------------------------------------------------------------------------------

  sealed interface Action {}

  /** Begins the request's next attempt. A time-out of 0 lasts until the client gives up. */
  record Send(String id, String server, long timeout) implements Action {}

  /** Final answer: declined, trying again is harmless. {@code retryAfter} 0 gives no advice. */
  record Refuse(String id, long retryAfter) implements Action {}

  /** Final answer: failed, nothing promised. */
  record Fail(String id) implements Action {}

  record CancelAttempt(String id, int attempt) implements Action {}

  /** Ends an open connection politely; its client comes again. */
  record Move(String id) implements Action {}

  record Probe(String server) implements Action {}

  record CloseIdle(String server) implements Action {}

  /** {@code peer} -1 addresses all. At most 256 bytes. */
  record TellPeer(int peer, String text) implements Action {}

  record WakeAfter(long delay, long token) implements Action {}

  record Subscribe(boolean on) implements Action {}

  record FetchList() implements Action {}

  record Log(String text) implements Action {}
}
