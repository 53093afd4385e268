package lemondeal.lab.emulator;

import java.util.List;

/**
 * The world of a run, before its policy and its seed. Times are microseconds, loads microseconds of work a second.
 *
 * @param seconds how long clients arrive; the run goes on until all that is owed was due
 * @param settle seconds from the beginning that shares and spreads leave out: a run begins with nobody
 * @param zones how many zones there are; fleets and proxies stand in them in turn
 * @param proxies how many proxies there are
 * @param fleets kinds of servers
 * @param classes kinds of clients
 * @param perSecond new clients a second, all classes together
 * @param bursts times at which more come
 * @param groups how many groups clients belong to; 0 where each is alone
 * @param groupZipf how unlike the groups' sizes are
 * @param groupLoad load of a group at each server that holds any of it, paid once
 * @param network delays
 * @param store the session store that set-ups call; a capacity of 0 means none
 * @param discovery how the list of servers comes
 * @param front how clients find a proxy
 * @param rules figures of the rules
 * @param faults what goes wrong, in the order of the file
 */
public record Scenario(int seconds, int settleSeconds, int zoneCount, int proxyCount, List<ServerPool> pools, List<ClientClass> classes,
    double clientsPerSecond, List<Burst> bursts, int groupCount, double groupSizeExponent, double groupLoad, Network network, Store store,
    Discovery discovery, FrontEnd frontEnd, Rules rules, List<Fault> faults) {

  /** Microseconds of a second. */
  public static final long SECOND = 1_000_000;

  /**
   * Servers of one kind.
   *
   * @param cores each works off a second of work a second
   * @param weight as discovery tells it
   * @param slots connections held at most
   * @param room set-ups that wait at most, beyond those in work
   * @param coldFrom share of its capacity at a start
   * @param warmWithin microseconds in which that rises evenly to all of it
   * @param choke share of its capacity that a full table takes
   */
  public record ServerPool(String name, int count, double cores, double weight, int maxConnections, int maxWaitingSetUps, double coldCapacityShare,
      long warmUpTime, double fullTableLoss) {}

  /**
   * Clients of one kind.
   *
   * @param share of the new clients
   * @param load of a connection on average
   * @param loadSigma how unlike connections' loads are
   * @param swingSigma how far a connection's load swings
   * @param changeEvery mean time between two changes of it; 0 for none
   * @param life mean length of a connection
   * @param lifeSigma how unlike lives are; below 0 for a life without memory
   * @param setup work of a set-up
   * @param setupWithoutMemory whether that is drawn from an exponential; always the same otherwise
   * @param aim for a set-up
   * @param messageAim for a message
   * @param deadline after which the client waits no more
   * @param worth of a second in which it is served
   */
  public record ClientClass(String name, double share, double load, double loadSigma, double loadChangeSigma,
      long loadChangeInterval, long meanLifetime, double lifetimeSigma, long setUpWork, boolean exponentialSetUp, long latencyTarget, long messageLatencyTarget,
      long deadline, double worth) {}

  /** Arrivals by so much more for a while. */
  public record Burst(long startTime, long duration, double factor) {}

  /** One-way delays inside a zone and between two. */
  public record Network(long delayInZone, long delayBetweenZones) {}

  /** Calls a second that the store works off, and how long each takes beside waiting. */
  public record Store(double callsPerSecond, long callTime) {}

  /** Calls a second that discovery works off, how late a change is told, and how long a call waits at most. */
  public record Discovery(double callsPerSecond, long updateDelay, long callTimeout) {}

  /**
   * How clients come back.
   *
   * @param late how long the front goes on sending clients to a proxy that has died
   * @param retry pause of a client that was refused or failed, doubled each time up to {@code retryMost}
   * @param move pause of one that was moved or broken off
   * @param giveUp tries after which a client stays away
   */
  public record FrontEnd(long detectionDelay, long retryDelay, long maxRetryDelay, long reconnectDelay, int maxRejections) {}

  /** Figures of the rules, as the settings tell them. */
  public record Rules(long answerSlack, long drainGrace, double overloadMultiple, long overloadWindow) {}

  /** All servers, in the order of their fleets. */
  public int serverCount() {
    return pools.stream().mapToInt(ServerPool::count).sum();
  }

  /** Cores of all servers together. */
  public double totalCores() {
    return pools.stream().mapToDouble(pool -> pool.count() * pool.cores()).sum();
  }
}
