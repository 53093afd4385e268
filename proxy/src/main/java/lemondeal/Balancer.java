package lemondeal;

import java.util.List;

/**
 * The interface of the decision module: settings and events in, actions out. One instance serves one
 * node (proxy). Times are whole microseconds on the caller's clock; the module reads no other input.
 *
 * <p>The first event must be {@link Start}. An action takes effect at the time of the call that
 * returned it, in the order of the list. An instance is not thread-safe.
 */
public interface Balancer {

  /** Handles one event and returns the actions to take, possibly none. */
  List<Action> on(long now, Event event);

  /** Summary of the servers that this instance knows; has no side effect on decisions. */
  ServerSummary serverSummary(long now);

  /**
   * {@code listReceived}: discovery itself has delivered a list since the start (a saved list does not count).
   * {@code known}: number of servers in the list; {@code avoided}: those of them that normally get no new client now.
   */
  record ServerSummary(boolean listReceived, int known, int avoided) {}

  // ---- Settings ------------------------------------------------------------------------------

  /** Whether a request of a class may be repeated: always, only where a key deduplicates it, or never. */
  enum Idempotency { SAFE, KEYED, UNSAFE }

  /** Which servers deduplicate the repeats of a keyed request. */
  enum DedupScope { ALL, ZONE, CELL }

  /** Meaning of a server's weight: always 1, its size, roughly its size, or its size divided by its load. */
  enum WeightMeaning { NONE, NOMINAL, ROUGH, LIVE }

  /** {@code messageLatencyTarget} is for a message on an open connection; 0 if there is none. */
  record RequestClass(Idempotency idempotency, DedupScope dedupScope, long dedupWindow, long latencyTarget,
      long deadline, double worth, long messageLatencyTarget) {}

  /** {@code share} is of the fleet; {@code connectionQuota} counts connections over all nodes, 0 = unknown. */
  record Tenant(double share, double requestsPerSecond, double connectionQuota) {}

  /**
   * Parameters of the platform's rules on late answers, on sends to draining servers and on sends to cold servers.
   * {@code listPollInterval} is 0 if the list is pushed without a request.
   */
  record Rules(long answerSlack, long drainGrace, double overloadMultiple, long overloadWindow,
      double coldCapacityShare, long warmUpTime, long listPollInterval) {}

  record Limits(int maxAttempts, boolean mayCancel, boolean mayProbe, boolean mayMessagePeers,
      boolean mayRunParallelAttempts, boolean mayAdviseRetryAfter, long maxRetryAfter, long cpuPerSecond) {}

  /** Points subtracted from the service score, by what is counted. */
  record Prices(double crossZone, double waste, double probe, double peer, double move) {}

  /**
   * {@code nodeIndex} is from 0 to {@code nodeCount - 1}. {@code groupsShareWork}: connections of a group share
   * work. {@code passThrough}: connections outlive their node and may arrive mid-flow at another.
   */
  record Settings(int nodeIndex, int nodeCount, int zone, List<RequestClass> classes, List<Tenant> tenants,
      Rules rules, Limits limits, Prices prices, WeightMeaning weightMeaning, boolean mustSubscribe,
      boolean groupsShareWork, boolean passThrough, boolean probesReportLoad, boolean worthIsPerWork,
      double overShareWorth) {}

  // ---- Events --------------------------------------------------------------------------------

  sealed interface Event {}

  record Start(long seed, Settings settings) implements Event {}

  /** FULL and SAVED hold every server (SAVED as this node last knew it); CHANGES only what changed; FAILED none. */
  enum ListKind { CHANGES, FULL, SAVED, FAILED }

  enum ServerState { READY, DRAINING, GONE }

  /** {@code startedAt} is 0 if the start was long ago. */
  record ServerEntry(String server, int zone, int cell, int model, long startedAt, ServerState state,
      double weight) {}

  /** {@code pool}: index from 0 of the server pool if classes have separate servers; otherwise there is one pool, 0. */
  record ServerList(long version, ListKind kind, List<ServerEntry> entries, int pool) implements Event {
    /** The list of the only pool. */
    public ServerList(long version, ListKind kind, List<ServerEntry> entries) {
      this(version, kind, entries, 0);
    }
  }

  /**
   * Until when requests may be sent by the held list of a pool, on the caller's clock: later, servers that it has as
   * ready may have been draining for too long. A server that has accepted a request may still get others until
   * {@code afterAcceptance} after that was sent. {@code outagePossible}: the list may not have expired then, since
   * discovery may be down; a server gets requests unless it has refused one since it last accepted one. Without such an
   * event the list may always be used, as with {@link #UNLIMITED}.
   */
  record ListValidity(int pool, long until, boolean outagePossible, long afterAcceptance) implements Event {
    /** Value of {@code until} that sets no limit. */
    public static final long UNLIMITED = Long.MAX_VALUE;
  }

  /** {@code key}, {@code group}: null if absent. {@code cost}: hint of the usual load, NaN if absent. */
  record Request(String id, long due, int requestClass, String key, String group, double cost,
      boolean midFlow, boolean returned, int tenant, boolean clientRetry) {}

  record Arrived(Request request) implements Event {}

  /** A connection that is already open through this node when it starts; its attempt 0 has been made. */
  record Adopted(Request request, String server) implements Event {}

  /** The attempt's connection is established; it has no deadline from now on. */
  record Established(String id, int attempt, String server, long elapsed) implements Event {}

  /** How an attempt ended. The flag tells whether the server may have executed the request. */
  enum Outcome {
    SERVED(true), ERROR(true), REFUSED(false), TIMED_OUT(true), NO_CONNECTION(false), RESET(true),
    CANCELLED(true), NOT_SENT(false);

    public final boolean mayHaveRun;

    Outcome(boolean mayHaveRun) {
      this.mayHaveRun = mayHaveRun;
    }
  }

  /** A server's own report; NaN for values that it leaves out. {@code demand} is load divided by capacity. */
  record LoadReport(double demand, double backlogSeconds, double openConnections, double queued, double busy) {}

  /** {@code requestFinished}: no answer is owed any more. {@code report}: null if none came. */
  record Ended(String id, int attempt, String server, Outcome outcome, long elapsed, boolean requestFinished,
      LoadReport report) implements Event {}

  /** Present {@code load} of a connection, in microseconds of work per second. */
  record LoadChanged(String id, int attempt, String server, double load) implements Event {}

  /** Present latency of a message at this server. */
  record MessageDelay(String id, int attempt, String server, double millis) implements Event {}

  /** A line sent to this server has long been unanswered, and the server has sent nothing on any connection. */
  record Unanswered(String id, int attempt, String server) implements Event {}

  record ProbeResult(String server, Outcome outcome, long elapsed, LoadReport report) implements Event {}

  record PeerMessage(int from, String text) implements Event {}

  record Wake(long token) implements Event {}

  /** The client disconnected, or its deadline has passed; no answer is owed any more. */
  record ClientGone(String id) implements Event {}

  /**
   * How far the proxies together have opened a zone: to {@code keyShare} of the keys, 0 to 1, and to at most
   * {@code maxSends} attempts of this node until the next such event. A zone without such an event is open.
   * {@code connectionsToMove}: number of open connections there that are to be moved now.
   */
  record ZoneOpen(int zone, double keyShare, int maxSends, int connectionsToMove) implements Event {
    /** Value of {@code maxSends} that sets no limit. */
    public static final int UNLIMITED = Integer.MAX_VALUE;
  }

  // ---- Actions -------------------------------------------------------------------------------

  sealed interface Action {}

  /** Starts the request's next attempt. With a timeout of 0 it lasts until the client gives up. */
  record Send(String id, String server, long timeout) implements Action {}

  /** Final answer: refused, a retry is safe. {@code retryAfter} 0 gives no advice. */
  record Refuse(String id, long retryAfter) implements Action {}

  /** Final answer: failed; whether a retry is safe is unknown. */
  record Fail(String id) implements Action {}

  record CancelAttempt(String id, int attempt) implements Action {}

  /** Asks the client of an open connection to reconnect elsewhere. */
  record Move(String id) implements Action {}

  record Probe(String server) implements Action {}

  record CloseIdle(String server) implements Action {}

  /** {@code peer} -1 sends to all peers. At most 256 bytes. */
  record TellPeer(int peer, String text) implements Action {}

  record WakeAfter(long delay, long token) implements Action {}

  record Subscribe(boolean on) implements Action {}

  record FetchList() implements Action {}

  record Log(String text) implements Action {}
}
