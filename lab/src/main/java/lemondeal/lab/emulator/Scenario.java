package lemondeal.lab.emulator;

import java.util.List;

/**
 * Everything that defines a run but its policy and its seed. Times are in microseconds, loads in microseconds of work a
 * second.
 *
 * @param seconds how long clients arrive; the run lasts until the last final answer was due
 * @param settleSeconds seconds at the start that shares and spreads leave out, because a run starts without clients
 * @param zoneCount number of zones; servers and proxies are placed in them in turn
 * @param proxyCount number of proxies
 * @param pools server pools
 * @param classes client classes
 * @param clientsPerSecond arrival rate of clients, all classes together
 * @param bursts times with a higher arrival rate
 * @param groupCount number of groups to which clients belong; 0 for clients without groups
 * @param groupSizeExponent Zipf exponent of the groups' sizes; 0 for groups of equal size
 * @param groupLoad load of a group on each server that has at least one of its connections, counted once
 * @param network network delays
 * @param store the session store that set-ups call; a capacity of 0 means none
 * @param discovery how the server list is distributed
 * @param frontEnd how clients reach a proxy
 * @param rules limits of the rules
 * @param faults faults in the order of the file
 */
public record Scenario(int seconds, int settleSeconds, int zoneCount, int proxyCount, List<ServerPool> pools,
    List<ClientClass> classes, double clientsPerSecond, List<Burst> bursts, int groupCount, double groupSizeExponent,
    double groupLoad, Network network, Store store, Discovery discovery, FrontEnd frontEnd, Rules rules,
    List<Fault> faults) {

  /** One second in microseconds. */
  public static final long SECOND = 1_000_000;

  /**
   * Servers of one kind.
   *
   * @param cores number of cores; each does a second of work a second
   * @param weight weight in discovery's list
   * @param maxConnections largest number of open connections
   * @param maxWaitingSetUps largest number of queued set-ups, besides those in service
   * @param coldCapacityShare share of its capacity that a server has when it starts
   * @param warmUpTime microseconds in which that share rises linearly to 1
   * @param fullTableLoss share of its capacity that a server loses when its connection table is full
   */
  public record ServerPool(String name, int count, double cores, double weight, int maxConnections,
      int maxWaitingSetUps, double coldCapacityShare, long warmUpTime, double fullTableLoss) {}

  /**
   * Clients of one kind.
   *
   * @param share share of the new clients
   * @param load mean load of a connection
   * @param loadSigma sigma of the log-normal distribution of clients' mean loads
   * @param loadChangeSigma sigma of the log-normal factors by which a connection's load varies over time
   * @param loadChangeInterval mean time between two changes of a connection's load; 0 for no changes
   * @param meanLifetime mean time that a client wants to be connected
   * @param lifetimeSigma sigma of the log-normal distribution of that time; below 0 for an exponential distribution
   * @param setUpWork mean work of a set-up
   * @param exponentialSetUp whether the work of a set-up is exponentially distributed; it is constant otherwise
   * @param latencyTarget latency target of a set-up
   * @param messageLatencyTarget latency target of a message
   * @param deadline time after which the client stops waiting
   * @param worth worth of a second in which a client is served
   */
  public record ClientClass(String name, double share, double load, double loadSigma, double loadChangeSigma,
      long loadChangeInterval, long meanLifetime, double lifetimeSigma, long setUpWork, boolean exponentialSetUp,
      long latencyTarget, long messageLatencyTarget, long deadline, double worth) {}

  /** A period in which the arrival rate is multiplied by a factor. */
  public record Burst(long startTime, long duration, double factor) {}

  /** One-way network delays within a zone and between zones. */
  public record Network(long delayInZone, long delayBetweenZones) {}

  /** The session store's service rate, and the time of a call without its wait. */
  public record Store(double callsPerSecond, long callTime) {}

  /** Discovery's service rate, the delay of its updates, and the longest time that a call waits. */
  public record Discovery(double callsPerSecond, long updateDelay, long callTimeout) {}

  /**
   * How clients reach a proxy and retry.
   *
   * @param detectionDelay how long the front end balancer keeps sending clients to a crashed proxy
   * @param retryDelay delay of a client after a refusal or failure, doubled each time up to {@code maxRetryDelay}
   * @param reconnectDelay delay of a client whose connection was moved or broken
   * @param maxRejections rejections in a row after which a client gives up
   */
  public record FrontEnd(long detectionDelay, long retryDelay, long maxRetryDelay, long reconnectDelay,
      int maxRejections) {}

  /** Limits of the rules, as in the module's settings. */
  public record Rules(long answerSlack, long drainGrace, double overloadMultiple, long overloadWindow) {}

  /** Number of servers of all pools. */
  public int serverCount() {
    return pools.stream().mapToInt(ServerPool::count).sum();
  }

  /** Number of cores of all servers. */
  public double totalCores() {
    return pools.stream().mapToDouble(pool -> pool.count() * pool.cores()).sum();
  }
}
