package lemondeal.config;

/**
 * All sizes, counts and times that bound the proxy, computed once at the start. Times are in microseconds.
 *
 * <p>File descriptors of one process, which together fit into {@code sockets} whatever clients do:
 *
 * <ul>
 * <li>the program's own files, selectors and the listener for clients;
 * <li>the admin endpoint: its listener, its connections and one just accepted;
 * <li>calls to discovery, and closed descriptors that the selector still holds;
 * <li>{@link #maxProbeLinks};
 * <li>two for each client link with a request, its own and one to a server: an attempt ends before the next begins;
 * <li>pending and lingering connections, and those accepted in one go before the oldest are evicted. They may also use
 * what client links leave free.
 * </ul>
 *
 * <p>The operator's file may enable features that need more descriptors (a fleet's transport, Consul, stores).
 *
 * @param maxLineBytes longest line of the protocol, including its line end
 * @param ringBytes size of a ring buffer; holds at least one line of the maximum length and a final {@code MOVE}
 * @param maxListBytes longest line, and longest list, in a response of discovery
 * @param readBytesPerTurn bytes read from one connection before other connections are served
 * @param maxLingerBytes bytes read at most from a connection in a lingering close
 * @param maxClients concurrent client links with a request; further ones are throttled
 * @param maxRingsMb megabytes that ring buffers may take at most; a share of the memory is a second upper limit
 * @param sharedMachine whether another process may be running on the same machine, within the same limits
 * @param maxPending concurrent connections that have not sent their first line while all client links are in use;
 *     see {@link #maxPending(int)}
 * @param maxLingering concurrent connections in a lingering close; a further one evicts the oldest
 * @param maxAccepted concurrent accepted connections of any kind
 * @param acceptsPerTurn connections accepted before open connections are served
 * @param maxAdminConnections connections to the admin endpoint, also after their reply; a further one evicts the oldest
 * @param maxAdminLineBytes longest command to the admin endpoint
 * @param adminTimeout a connection to the admin endpoint is closed if its command is incomplete after this time
 * @param firstListTimeout without a list from discovery after this time, the proxy starts with the known servers
 * @param timerTick tick of the timer wheel
 * @param wheelSlots slots of the timer wheel
 * @param connectTimeout connecting to a server fails after this time
 * @param clientDeadlineMargin subtracted from a client's deadline before the decision module gets it
 * @param firstLineTimeout a client that has not sent its first line after this time is disconnected: the protocol
 *     requires an end within 3 s of its connecting
 * @param serverSilenceTimeout a server with a line unanswered for this long is considered unresponsive
 * @param slowAnswerDelay a line unanswered for this long is reported as a message delay
 * @param pauseAllowance added to timeouts, so that a pause of the proxy itself is not taken for a delay of the peer
 * @param maxUnanswered lines to a server whose answers are awaited at the same time
 * @param lingerTimeout duration of a lingering close, in which written bytes still arrive
 * @param moveTimeout a move that has not found the end of a line after this time is made regardless
 * @param delayReportInterval minimum time between two delay reports on one server
 * @param delayReportShare delays above this share of the shortest message aim are reported
 * @param probeTimeout timeout for the answer to a probe
 * @param probeLinkIdleTimeout a link kept for probes is closed after this idle time
 * @param discoveryConnectTimeout connecting to discovery fails after this time; the list clock decides how long an open
 *     connection may be silent
 * @param adoptRetryDelay time between two attempts to reach the server of a connection that was open before
 * @param adoptTimeout how long such attempts are repeated
 * @param throttleRetryAfter retry delay sent to clients that are throttled for lack of capacity
 * @param drainAcceptTime how long connections are still accepted after the order to stop
 * @param drainHoldTime how long clients then stay on their connections
 * @param drainStepInterval time between two steps in which clients are moved at a stop
 * @param drainMoveTime time over which all clients are moved
 * @param drainTimeout maximum duration of a stop
 * @param maxProbeLinks concurrent links to servers for probes; a further one evicts the longest idle one
 */
public record Limits(int maxLineBytes, int ringBytes, int maxListBytes, int readBytesPerTurn, int maxLingerBytes,
    int maxClients, int maxRingsMb, boolean sharedMachine, int maxPending, int maxLingering, int maxAccepted,
    int acceptsPerTurn, int maxAdminConnections, int maxAdminLineBytes, long adminTimeout, long firstListTimeout,
    long timerTick, int wheelSlots, long connectTimeout, long clientDeadlineMargin, long firstLineTimeout,
    long serverSilenceTimeout, long slowAnswerDelay, long pauseAllowance, int maxUnanswered, long lingerTimeout,
    long moveTimeout, long delayReportInterval, double delayReportShare, long probeTimeout, long probeLinkIdleTimeout,
    long discoveryConnectTimeout, long adoptRetryDelay, long adoptTimeout, long throttleRetryAfter,
    long drainAcceptTime, long drainHoldTime, long drainStepInterval, long drainMoveTime, long drainTimeout,
    int maxProbeLinks) {

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  /** Descriptors of the program itself: 13 were counted (files, selectors, the listener); the rest is reserve. */
  private static final int OWN_DESCRIPTORS = 16;
  /** A watch and a fetch, each together with its replacement. */
  private static final int DISCOVERY_SOCKETS = 4;
  /** Closed descriptors that the selector still holds. */
  private static final int CLOSING_SOCKETS = 2;
  /** Connections to the admin endpoint, besides its listener and one that has just been accepted. */
  private static final int ADMIN_CONNECTIONS = 8;
  private static final int ADMIN_DESCRIPTORS = ADMIN_CONNECTIONS + 2;
  /** Descriptors of a process that do not depend on clients, without its links for probes. */
  private static final int FIXED_DESCRIPTORS =
      OWN_DESCRIPTORS + DISCOVERY_SOCKETS + CLOSING_SOCKETS + ADMIN_DESCRIPTORS;
  /** Links for probes: the minimum on the smallest machine, plus one per this many further sockets. */
  private static final int MIN_PROBE_LINKS = 16;
  private static final int SOCKETS_PER_PROBE_LINK = 8;
  /** Connections without a request: the minimum on the smallest machine, plus one per this many further sockets. */
  private static final int MIN_IDLE = 36;
  private static final int SOCKETS_PER_IDLE = 16;
  private static final int SMALLEST_MACHINE_SOCKETS = 256;
  /** On a shared machine, free client slots per additional pending connection: the other process needs some too. */
  private static final int FREE_CLIENTS_PER_PENDING = 8;
  /** Connections that may be accepted in one go before the oldest members of a full set are closed. */
  private static final int ACCEPT_SLACK = 6;
  private static final int RING_BYTES = 8192;
  /** STANDING: at most 3,200 servers. Discovery's entries have about 170 bytes; the rest allows for longer names. */
  private static final int MAX_LIST_BYTES = 3_200 * 1_280;
  /** Ring buffers may use the memory divided by this. */
  private static final int RING_MEMORY_DIVISOR = 8;
  /**
   * What the platform's JVM flags leave for ring buffers: 16 MB of direct memory, less what XNIO and the JDK use. The
   * operator's file may allow more, together with more direct memory.
   */
  public static final int DEFAULT_RINGS_MB = 12;

  /** A stop may take as long as the longest deadline, capped at this, plus {@link #DRAIN_EXTRA}. */
  private static final long MAX_DRAIN_DEADLINE = 3 * SECOND;
  private static final long DRAIN_EXTRA = 500 * MILLI;
  private static final long DRAIN_ACCEPT_TIME = 450 * MILLI;
  private static final long LINGER_TIMEOUT = 500 * MILLI;
  /**
   * PROTOCOL: a connection on which nothing comes back must be ended or moved within 7 s. Clients send a line every
   * 2 s, so the first unanswered line may come 2 s late, and 1 s is reserved for a pause of the proxy.
   */
  private static final long SERVER_SILENCE_TIMEOUT = 7 * SECOND - 2 * SECOND - SECOND;
  /** Reserved at a stop, so that the last client moved can still reach the end of its line. */
  private static final long DRAIN_RESERVE = 300 * MILLI;
  private static final long DRAIN_STEP_INTERVAL = 50 * MILLI;
  /** Clients are moved over at most this time, as late as possible, since they are served until then. */
  private static final long MAX_DRAIN_MOVE_TIME = 1500 * MILLI;

  /** Derives the counts from the machine's limits, and the times of a stop from the longest deadline. */
  public static Limits of(int sockets, int memoryMb, long dialTimeout, long keepalive, long longestDeadline) {
    return of(sockets, memoryMb, dialTimeout, keepalive, longestDeadline, false, DEFAULT_RINGS_MB);
  }

  /**
   * The same for a process that may share the machine with its predecessor or successor. The clients of both together
   * take at most a third of the descriptors, and no more than one process accepts, however they are split; everything
   * else that both hold must fit beside them, including the idle connections that each accepts for its free slots.
   *
   * @param maxRingsMb megabytes that ring buffers may take: {@link #DEFAULT_RINGS_MB} on the platform
   */
  public static Limits of(int sockets, int memoryMb, long dialTimeout, long keepalive, long longestDeadline,
      boolean sharedMachine, int maxRingsMb) {
    int processes = sharedMachine ? 2 : 1;
    long drainTimeout = Math.min(MAX_DRAIN_DEADLINE, longestDeadline) + DRAIN_EXTRA;
    long timeToMove = Math.max(DRAIN_STEP_INTERVAL, drainTimeout - DRAIN_ACCEPT_TIME - LINGER_TIMEOUT - DRAIN_RESERVE);
    long drainMoveTime = Math.min(MAX_DRAIN_MOVE_TIME, timeToMove);
    int idle = (MIN_IDLE + Math.max(0, sockets - SMALLEST_MACHINE_SOCKETS) / SOCKETS_PER_IDLE) / processes;
    int maxLingering = idle / 3;
    int maxPending = idle - maxLingering - ACCEPT_SLACK;
    int maxProbeLinks = MIN_PROBE_LINKS
        + Math.max(0, sockets / processes - SMALLEST_MACHINE_SOCKETS) / SOCKETS_PER_PROBE_LINK;
    int clientSockets = sockets - processes * (FIXED_DESCRIPTORS + maxProbeLinks + idle);
    int bySockets = sharedMachine ? clientSockets * FREE_CLIENTS_PER_PENDING / (2 * FREE_CLIENTS_PER_PENDING + 1)
        : clientSockets / 2;
    int byMemory = (int) (((long) Math.min(memoryMb / RING_MEMORY_DIVISOR, maxRingsMb) << 20) / (2 * RING_BYTES));
    int maxClients = Math.min(bySockets, byMemory);
    if (maxClients < 1) {
      throw new ConfigException("limits: " + sockets + " sockets and " + memoryMb + " MB leave no room for clients");
    }
    int maxAccepted = sharedMachine ? maxClients + maxClients / FREE_CLIENTS_PER_PENDING + idle : 2 * maxClients + idle;
    return new Limits(4096, RING_BYTES, MAX_LIST_BYTES, 64 * 1024, 64 * 1024, maxClients, maxRingsMb,
        sharedMachine, maxPending, maxLingering, maxAccepted, 32, ADMIN_CONNECTIONS, 256, 5 * SECOND,
        3 * SECOND, 5 * MILLI, 1024, dialTimeout, 10 * MILLI, 2300 * MILLI, SERVER_SILENCE_TIMEOUT, 400 * MILLI,
        30 * MILLI, 64, LINGER_TIMEOUT, 5 * SECOND, SECOND, 1.0 / 3, SECOND,
        keepalive, 3500 * MILLI, 250 * MILLI, 35 * SECOND, SECOND, DRAIN_ACCEPT_TIME,
        timeToMove - drainMoveTime, DRAIN_STEP_INTERVAL, drainMoveTime, drainTimeout, maxProbeLinks);
  }

  /** Concurrent connections without a first line, while this many client links are not in use. */
  public int maxPending(int freeClients) {
    return maxPending + (sharedMachine ? freeClients / FREE_CLIENTS_PER_PENDING : 2 * freeClients);
  }
}
