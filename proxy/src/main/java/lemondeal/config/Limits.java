package lemondeal.config;

/**
 * Every size, count and time that bounds the proxy, filled once at start and handed down. Times are in
 * microseconds.
 *
 * <p>Descriptors of one process, all of which together fit into {@code sockets}, whatever clients do:
 *
 * <ul>
 * <li>the program's own files, selectors and the clients' listener;
 * <li>the second address: its listener, its callers, one just accepted;
 * <li>calls to discovery, and descriptors whose closing waits for the selector;
 * <li>{@link #probeLinks};
 * <li>two for each client link with a request, its own and one to a server: an attempt ends before the next begins;
 * <li>pending and lingering connections, and those that an accept brings before the oldest goes. What client links
 * leave free is theirs meanwhile.
 * </ul>
 *
 * <p>An operator's own file may switch on parts that hold more (a fleet's transport, Consul, stores).
 *
 * @param lineBytes longest line of the protocol, its end included
 * @param ringBytes a ring buffer; holds at least one longest line and a final {@code MOVE}
 * @param listLineBytes longest line, and longest list, in an answer of discovery
 * @param turnBytes read from one connection before the others have their turn
 * @param lingerBytes read from a closed side at most
 * @param clients client links with a request held at once; those beyond are throttled
 * @param ringsMb megabytes that ring buffers may take at most, beside the share of the memory that bounds them
 * @param shared whether another process may be running on the same machine, within the same limits
 * @param pending connections that have not sent their first line held at once when all client links are taken;
 *     see {@link #pending(int)}
 * @param lingering closed sides still read at once; beyond, the oldest goes
 * @param accepted connections accepted at once, of whatever kind
 * @param accepts connections accepted before those that are open have their turn
 * @param adminCallers connections to the second address, also those behind their reply; beyond, the oldest goes
 * @param adminLine longest call there
 * @param adminCall whoever has not brought a whole call by then is sent away
 * @param listWithin the list held at the start is served from when discovery has told none by then
 * @param tick of the timer wheel
 * @param wheelSlots in the timer wheel
 * @param dial a connection not up by then could not be had
 * @param answerLead how much earlier than the client the module believes that the client gives up
 * @param firstLine a client that has not sent its first line by then is sent away: an end is owed to it within
 *     3 s of its connecting
 * @param silence a line unanswered this long tells that the server answers nothing any more
 * @param unease a line unanswered this long is told as a delay
 * @param moment after which a delay of the proxy's own making has passed
 * @param unanswered lines to a server whose answers are waited for at once
 * @param linger how long a closed side is still read, so that what was written to it arrives
 * @param moveWithin a move that finds no end of a line by then is made all the same
 * @param noteEvery least time between two notes on one server's delay
 * @param noteShare share of the shortest message aim over which delays are noted
 * @param probe the answer to a probe
 * @param probeIdle a link kept for probes is closed after this
 * @param watchSilence a connection to discovery not up by then has failed; how long it may be silent after that is the
 *     list clock's to say
 * @param adoptPause between two tries for a connection that was open before
 * @param adoptFor how long it is tried
 * @param throttleFor when a client is to come again that was throttled for want of room
 * @param drainAccept how long connections still come after the order to stop
 * @param drainHold how long after it clients stay where they are
 * @param drainStep between two steps in which clients are moved at a stop
 * @param drainSpread how long moving them all takes
 * @param drainMost the longest that a stop may take
 * @param probeLinks links to servers that are open for probes at once; beyond, the one idle for the longest closes
 */
public record Limits(int maxLineBytes, int ringBytes, int maxListBytes, int readBytesPerTurn, int maxLingerBytes, int maxClients,
    int maxRingsMb, boolean sharedMachine, int maxPending, int maxLingering, int maxAccepted, int acceptsPerTurn, int maxAdminConnections, int maxAdminLineBytes,
    long adminTimeout, long firstListTimeout, long timerTick, int wheelSlots, long connectTimeout, long clientDeadlineMargin, long firstLineTimeout,
    long serverSilenceTimeout, long slowAnswerDelay, long pauseAllowance, int maxUnanswered, long lingerTimeout, long moveTimeout, long delayReportInterval, double delayReportShare, long probeTimeout,
    long probeLinkIdleTimeout, long discoveryConnectTimeout, long adoptRetryDelay, long adoptTimeout, long throttleRetryAfter, long drainAcceptTime,
    long drainHoldTime, long drainStepInterval, long drainMoveTime, long drainTimeout, int maxProbeLinks) {

  private static final long MILLI = 1_000;
  private static final long SECOND = 1_000_000;
  /** Descriptors of the program itself: 13 are seen (files, selectors, the listener); the rest is room. */
  private static final int OWN_DESCRIPTORS = 16;
  /** A watch and a fetch, each with the one that takes its place. */
  private static final int DISCOVERY_SOCKETS = 4;
  /** Descriptors that are closed and still at the selector. */
  private static final int CLOSING_SOCKETS = 2;
  /** Connections to the second address, beside its listener and one that has just been accepted. */
  private static final int ADMIN_CONNECTIONS = 8;
  private static final int ADMIN_DESCRIPTORS = ADMIN_CONNECTIONS + 2;
  /** What a process holds whatever clients do, beside its links for probes. */
  private static final int FIXED_DESCRIPTORS = OWN_DESCRIPTORS + DISCOVERY_SOCKETS + CLOSING_SOCKETS + ADMIN_DESCRIPTORS;
  /** Links for probes: so many on the smallest machine, and one more for each so many of its further sockets. */
  private static final int MIN_PROBE_LINKS = 16;
  private static final int SOCKETS_PER_PROBE_LINK = 8;
  /** Connections without a request: so many on the smallest machine, and one more for each so many sockets. */
  private static final int MIN_IDLE = 36;
  private static final int SOCKETS_PER_IDLE = 16;
  private static final int SMALLEST_MACHINE_SOCKETS = 256;
  /** Where two processes run, free slots for each further one: the other one's clients need room too. */
  private static final int FREE_CLIENTS_PER_PENDING = 8;
  /** Connections accepted in one go before the oldest of a full crowd are closed. */
  private static final int ACCEPT_SLACK = 6;
  private static final int RING_BYTES = 8192;
  /** STANDING: 3,200 servers at most; discovery's entries have some 170 bytes each, and the rest is room for names. */
  private static final int MAX_LIST_BYTES = 3_200 * 1_280;
  /** Share of the memory that rings may take. */
  private static final int RING_MEMORY_DIVISOR = 8;
  /**
   * What the platform's JVM flags leave for rings in any case: 16 MB of direct memory, less what XNIO and the JDK take. An
   * operator's own file may give more, with more direct memory.
   */
  public static final int DEFAULT_RINGS_MB = 12;

  /** A stop may take as long as the longest deadline, counted as this where it is longer, and somewhat more. */
  private static final long MAX_DRAIN_DEADLINE = 3 * SECOND;
  private static final long DRAIN_EXTRA = 500 * MILLI;
  private static final long DRAIN_ACCEPT_TIME = 450 * MILLI;
  private static final long LINGER_TIMEOUT = 500 * MILLI;
  /**
   * PROTOCOL: a connection that brings nothing back must be ended or moved within 7 s. Clients send a line every 2 s, so
   * the first that is left unanswered may come that late, and 1 s is left for a proxy that stands still meanwhile.
   */
  private static final long SERVER_SILENCE_TIMEOUT = 7 * SECOND - 2 * SECOND - SECOND;
  /** Kept back at a stop for the last client's line to end. */
  private static final long DRAIN_RESERVE = 300 * MILLI;
  private static final long DRAIN_STEP_INTERVAL = 50 * MILLI;
  /** Clients are moved over this long, as late as can be: until then they are served. */
  private static final long MAX_DRAIN_MOVE_TIME = 1500 * MILLI;

  /** Derives the counts from what the machine allows, and the times of a stop from the longest deadline. */
  public static Limits of(int sockets, int memoryMb, long dialTimeout, long keepalive, long longestDeadline) {
    return of(sockets, memoryMb, dialTimeout, keepalive, longestDeadline, false, DEFAULT_RINGS_MB);
  }

  /**
   * The same for a process that may share the machine with the one before it or after it. Clients together hold a
   * third of the descriptors at most, and no more than one process takes, wherever they are; all else that both hold
   * has to fit beside them, also the idle connections that either takes for its free slots.
   *
   * @param ringsMb megabytes that rings may take at most: {@link #RINGS_MB} on the platform
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
    int maxProbeLinks = MIN_PROBE_LINKS + Math.max(0, sockets / processes - SMALLEST_MACHINE_SOCKETS) / SOCKETS_PER_PROBE_LINK;
    int clientSockets = sockets - processes * (FIXED_DESCRIPTORS + maxProbeLinks + idle);
    int bySockets = sharedMachine ? clientSockets * FREE_CLIENTS_PER_PENDING / (2 * FREE_CLIENTS_PER_PENDING + 1) : clientSockets / 2;
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

  /** Connections that may be held without a first line while so many client links are not taken. */
  public int maxPending(int freeClients) {
    return maxPending + (sharedMachine ? freeClients / FREE_CLIENTS_PER_PENDING : 2 * freeClients);
  }
}
