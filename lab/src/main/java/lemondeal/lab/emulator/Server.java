package lemondeal.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * A model of a server. Assumptions:
 *
 * <ul>
 * <li>Connection set-ups are jobs in one FIFO queue, served by the cores (M/G/c if arrivals and work are random and the
 *     connections cause no load; Kleinrock, Queueing Systems I, 1975). A core serves one job at a time.
 * <li>Open connections cause a continuous load. It is a fluid that takes its share of every core before set-ups do;
 *     load above the cores' capacity builds up a backlog, which is worked off when there is capacity (fluid queue).
 * <li>A message waits for the backlog, and in addition as in an M/M/1 queue at the present utilization of the cores:
 *     the share of messages answered in time is 1 - exp(-(1 - utilization) * (latency target - backlog) / service
 *     time), and 0 while the backlog is longer than the latency target.
 * <li>A cold server has a share of its capacity, which rises linearly to all of it; a server with many connections
 *     loses a share that grows with the square of its table's occupancy.
 * </ul>
 *
 * Between two events all of the model's inputs are constant but the warm-up share, which is evaluated in the middle of
 * steps of at most {@link #MAX_STEP} microseconds.
 */
public final class Server {
  /** Service time of a single message on an idle core. */
  static final double MESSAGE_SECONDS = 0.004;
  /** The share of a core that set-ups keep whatever the load of the connections. */
  private static final double MIN_SET_UP_SHARE = 0.05;
  private static final long MAX_STEP = 100_000;

  public enum State { RUNNING, HUNG, DRAINING, DEAD }

  /** A connection set-up in the server's queue or in service. */
  private static final class Job implements Comparable<Job> {
    private final double work;
    private final Runnable onDone;
    private final long sequence;
    private double endsAt;
    private boolean cancelled;

    Job(double work, Runnable onDone, long sequence) {
      this.work = work;
      this.onDone = onDone;
      this.sequence = sequence;
    }

    @Override
    public int compareTo(Job other) {
      return endsAt != other.endsAt ? Double.compare(endsAt, other.endsAt) : Long.compare(sequence, other.sequence);
    }
  }

  /** Cancels a set-up. */
  interface JobHandle {
    void cancel();
  }

  private final EventScheduler scheduler;
  private final String name;
  private final Scenario.ServerPool pool;
  private final int zone;
  private final int poolIndex;
  private final double groupLoad;
  private long startedAt;
  private State state = State.RUNNING;
  private double slowdown = 1;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Map<Integer, Integer> groupConnections = new HashMap<>();
  private final int[] connectionsByClass;
  private double load;
  private double backlog;
  /** Work that each busy core has done since the start, in microseconds: the clock in which jobs end. */
  private double workClock;
  private long updatedAt;
  private final PriorityQueue<Job> jobsInService = new PriorityQueue<>();
  private final ArrayDeque<Job> waitingJobs = new ArrayDeque<>();
  private long jobCount;
  private EventScheduler.ScheduledEvent nextCheck;

  Server(EventScheduler scheduler, String name, Scenario.ServerPool pool, int poolIndex, int zone, double groupLoad,
      int classCount, long startedAt) {
    connectionsByClass = new int[classCount];
    this.scheduler = scheduler;
    this.name = name;
    this.pool = pool;
    this.poolIndex = poolIndex;
    this.zone = zone;
    this.groupLoad = groupLoad;
    this.startedAt = startedAt;
    updatedAt = scheduler.now();
  }

  public String name() {
    return name;
  }

  public Scenario.ServerPool pool() {
    return pool;
  }

  public int zone() {
    return zone;
  }

  int poolIndex() {
    return poolIndex;
  }

  public State state() {
    return state;
  }

  /** Microseconds on the run's clock; below 0 for a server that started long before the run. */
  long startedAt() {
    return startedAt;
  }

  public int openConnections() {
    return connections.size();
  }

  /** Open connections of this class. */
  int openConnections(int classIndex) {
    return connectionsByClass[classIndex];
  }

  Set<Connection> connections() {
    return connections;
  }

  /** Set-ups in service and waiting. */
  public int setUpsInProgress() {
    return jobsInService.size() + waitingJobs.size();
  }

  /** Load of the connections divided by the present capacity of the cores. */
  public double utilization() {
    double capacity = capacity(scheduler.now());
    return capacity <= 0 ? Double.POSITIVE_INFINITY : load / capacity;
  }

  /** Load of the connections divided by the capacity of the cores without warm-up, slowdown and crowding. */
  public double nominalUtilization() {
    return load / (pool.cores() * Scenario.SECOND);
  }

  /** Seconds needed to work off the backlog at the present capacity. */
  double backlogSeconds() {
    double capacity = capacity(scheduler.now());
    return capacity <= 0 ? Double.POSITIVE_INFINITY : backlog / capacity;
  }

  /** Capacity of the cores at this time, in microseconds of work a second. */
  public double capacity(long time) {
    if (state == State.DEAD || state == State.HUNG) {
      return 0;
    }
    double occupancy = pool.maxConnections() <= 0 ? 0
        : Math.min(1, connections.size() / (double) pool.maxConnections());
    return pool.cores() * Scenario.SECOND / slowdown * warmUpShare(time)
        * (1 - pool.fullTableLoss() * occupancy * occupancy);
  }

  /** Share of its capacity that a server has at this time of its warm-up; 1 once it is warm. */
  double warmUpShare(long time) {
    if (pool.warmUpTime() <= 0 || startedAt < 0 || time >= startedAt + pool.warmUpTime()) {
      return 1;
    }
    return pool.coldCapacityShare() + (1 - pool.coldCapacityShare()) * (time - startedAt) / pool.warmUpTime();
  }

  /** Share of messages answered within the latency target, in microseconds, in the present state. */
  public double shareInTime(long latencyTarget) {
    double backlogDelay = backlogSeconds();
    double utilization = utilization();
    double remaining = latencyTarget / (double) Scenario.SECOND - backlogDelay;
    if (remaining <= 0 || utilization >= 1 || Double.isInfinite(backlogDelay)) {
      return 0;
    }
    return 1 - StrictMath.exp(-(1 - utilization) * remaining / (MESSAGE_SECONDS * slowdown));
  }

  /** Mean latency of a message in the present state, in milliseconds. */
  double meanMessageMillis() {
    double utilization = Math.min(utilization(), 0.999);
    return 1000 * (backlogSeconds() + MESSAGE_SECONDS * slowdown / (1 - utilization));
  }

  // ---- State changes ----------------------------------------------------------------------------

  /** Advances the model to the present time. Called before each change of capacity or load. */
  void update() {
    long now = scheduler.now();
    while (updatedAt < now) {
      long stepEnd = warmUpShare(updatedAt) < 1 ? Math.min(now, updatedAt + MAX_STEP) : now;
      double seconds = (stepEnd - updatedAt) / (double) Scenario.SECOND;
      double capacity = capacity((updatedAt + stepEnd) / 2);
      backlog = Math.max(0, backlog + (load - capacity) * seconds);
      workClock += setUpSpeed(capacity) * seconds * Scenario.SECOND;
      updatedAt = stepEnd;
    }
    finishJobs();
  }

  /** Speed at which a core works on a set-up, after the share that the connections take. */
  private double setUpSpeed(double capacity) {
    double capacityShare = capacity / (pool.cores() * Scenario.SECOND);
    return capacity <= 0 ? 0 : capacityShare * Math.max(MIN_SET_UP_SHARE, 1 - load / capacity);
  }

  private void finishJobs() {
    List<Job> finished = new ArrayList<>(2);
    while (!jobsInService.isEmpty() && jobsInService.peek().endsAt <= workClock + 1e-6) {
      finished.add(jobsInService.poll());
      startJobs();
    }
    for (Job job : finished) {
      if (!job.cancelled) {
        job.onDone.run();
      }
    }
  }

  private void startJobs() {
    while (jobsInService.size() < Math.max(1, (int) Math.round(pool.cores())) && !waitingJobs.isEmpty()) {
      Job job = waitingJobs.poll();
      if (!job.cancelled) {
        job.endsAt = workClock + job.work;
        jobsInService.add(job);
      }
    }
  }

  /** Schedules a check at the estimated end of the next job. */
  private void scheduleCheck() {
    if (nextCheck != null) {
      nextCheck.cancel();
      nextCheck = null;
    }
    double speed = setUpSpeed(capacity(scheduler.now()));
    if (!jobsInService.isEmpty() && speed > 0) {
      long wait = Math.max(1, (long) Math.ceil((jobsInService.peek().endsAt - workClock) / speed));
      nextCheck = scheduler.after(warmUpShare(scheduler.now()) < 1 ? Math.min(wait, MAX_STEP) : wait, this::check);
    }
  }

  private void check() {
    nextCheck = null;
    update();
    scheduleCheck();
  }

  /** Whether the server accepts a set-up: it runs, its connection table has a free slot and its queue is not full. */
  boolean acceptsSetUp() {
    update();
    return state == State.RUNNING && connections.size() + setUpsInProgress() < pool.maxConnections()
        && waitingJobs.size() < pool.maxWaitingSetUps();
  }

  /** Queues a set-up that needs this much work, in microseconds; {@code onDone} runs when it is finished. */
  JobHandle setUp(double work, Runnable onDone) {
    update();
    Job job = new Job(work, onDone, jobCount++);
    waitingJobs.add(job);
    startJobs();
    scheduleCheck();
    return () -> job.cancelled = true;
  }

  void addConnection(Connection connection) {
    update();
    connections.add(connection);
    connectionsByClass[connection.client().classIndex()]++;
    load += connection.load();
    if (connection.group() >= 0 && groupConnections.merge(connection.group(), 1, Integer::sum) == 1) {
      load += groupLoad;
    }
    scheduleCheck();
  }

  void removeConnection(Connection connection) {
    update();
    if (connections.remove(connection)) {
      connectionsByClass[connection.client().classIndex()]--;
      load = Math.max(0, load - connection.load());
      if (connection.group() >= 0 && groupConnections.merge(connection.group(), -1, Integer::sum) == 0) {
        groupConnections.remove(connection.group());
        load = Math.max(0, load - groupLoad);
      }
    }
    scheduleCheck();
  }

  /** Changes the load of the connections by a difference. */
  void changeLoad(double difference) {
    update();
    load = Math.max(0, load + difference);
    scheduleCheck();
  }

  void setSlowdown(double factor) {
    update();
    slowdown = factor;
    scheduleCheck();
  }

  void setState(State newState) {
    update();
    state = newState;
    if (newState == State.DEAD) {
      jobsInService.clear();
      waitingJobs.clear();
      backlog = 0;
    }
    scheduleCheck();
  }

  /** Restarts the server under the same name, cold and without connections. */
  void restart() {
    update();
    state = State.RUNNING;
    startedAt = scheduler.now();
    slowdown = 1;
    scheduleCheck();
  }
}
