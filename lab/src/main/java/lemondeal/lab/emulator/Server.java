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
 * <li>Set-ups are jobs in one queue served in their order by the cores (M/G/c where arrivals and work are random and no
 *     connection weighs on it; Kleinrock, Queueing Systems I, 1975). A core takes one job at a time.
 * <li>Standing connections ask for work all the time. They are a fluid that takes its part of every core before set-ups
 *     do; what the cores can't give piles up as a backlog, worked off when there is room (fluid queue).
 * <li>A message waits behind the backlog, and beside that as in an M/M/1 queue at the present use of the cores: the share
 *     that is answered in time is 1 - exp(-(1 - use) * (aim - backlog) / service), and none while the backlog is longer
 *     than the aim.
 * <li>A cold server has a share of its capacity that rises evenly to all of it; a crowded one loses a share with the
 *     square of how full its table is.
 * </ul>
 *
 * Between two events everything it depends on is constant but the cold start, whose change over at most {@link #STEP} is
 * taken at its middle.
 */
public final class Server {
  /** Of a message alone on an idle core. */
  static final double MESSAGE_SECONDS = 0.004;
  /** Set-ups keep this share of a core however much the connections ask for. */
  private static final double MIN_SET_UP_SHARE = 0.05;
  private static final long MAX_STEP = 100_000;

  /** Whether and how it lives. */
  public enum State { RUNNING, HUNG, DRAINING, DEAD }

  /** A set-up on its way through the server. */
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

  /** A way to call a job off. */
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
  /** Work that each busy core has done since the beginning, in microseconds: the clock of the jobs. */
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

  /** Microseconds on the run's clock; below 0 for long before it. */
  long startedAt() {
    return startedAt;
  }

  public int openConnections() {
    return connections.size();
  }

  /** Connections of this class. */
  int openConnections(int classIndex) {
    return connectionsByClass[classIndex];
  }

  Set<Connection> connections() {
    return connections;
  }

  /** Set-ups in work and waiting. */
  public int setUpsInProgress() {
    return jobsInService.size() + waitingJobs.size();
  }

  /** Load of the connections over the present capacity of the cores. */
  public double utilization() {
    double capacity = capacity(scheduler.now());
    return capacity <= 0 ? Double.POSITIVE_INFINITY : load / capacity;
  }

  /** Load of the connections over the capacity of the cores when warm and sound. */
  public double nominalUtilization() {
    return load / (pool.cores() * Scenario.SECOND);
  }

  /** Seconds that the backlog takes to work off at the present capacity. */
  double backlogSeconds() {
    double capacity = capacity(scheduler.now());
    return capacity <= 0 ? Double.POSITIVE_INFINITY : backlog / capacity;
  }

  /** Microseconds of work a second that the cores give now. */
  public double capacity(long time) {
    if (state == State.DEAD || state == State.HUNG) {
      return 0;
    }
    double occupancy = pool.maxConnections() <= 0 ? 0 : Math.min(1, connections.size() / (double) pool.maxConnections());
    return pool.cores() * Scenario.SECOND / slowdown * warmUpShare(time) * (1 - pool.fullTableLoss() * occupancy * occupancy);
  }

  /** Share of its capacity that its start still leaves it. */
  double warmUpShare(long time) {
    if (pool.warmUpTime() <= 0 || startedAt < 0 || time >= startedAt + pool.warmUpTime()) {
      return 1;
    }
    return pool.coldCapacityShare() + (1 - pool.coldCapacityShare()) * (time - startedAt) / pool.warmUpTime();
  }

  /** Share of messages answered within so many microseconds now. */
  public double shareInTime(long latencyTarget) {
    double backlogDelay = backlogSeconds();
    double utilization = utilization();
    double remaining = latencyTarget / (double) Scenario.SECOND - backlogDelay;
    if (remaining <= 0 || utilization >= 1 || Double.isInfinite(backlogDelay)) {
      return 0;
    }
    return 1 - StrictMath.exp(-(1 - utilization) * remaining / (MESSAGE_SECONDS * slowdown));
  }

  /** Milliseconds that a message takes now, on average. */
  double meanMessageMillis() {
    double utilization = Math.min(utilization(), 0.999);
    return 1000 * (backlogSeconds() + MESSAGE_SECONDS * slowdown / (1 - utilization));
  }

  // ---- Changes ----------------------------------------------------------------------------------

  /** Brings everything up to the present. Called before whatever changes its capacity or load. */
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

  /** How fast a core works on a set-up beside what the connections take. */
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

  /** Plans a look at the time at which the next job ends, as far as can be said now. */
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

  /** Whether a set-up may come in: it has a slot left and its room is not full. */
  boolean acceptsSetUp() {
    update();
    return state == State.RUNNING && connections.size() + setUpsInProgress() < pool.maxConnections()
        && waitingJobs.size() < pool.maxWaitingSetUps();
  }

  /** Takes a set-up of this much work in; {@code done} runs when it is ready. */
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

  /** A connection's load changes by so much. */
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

  /** Starts again under its name, cold and with nothing. */
  void restart() {
    update();
    state = State.RUNNING;
    startedAt = scheduler.now();
    slowdown = 1;
    scheduleCheck();
  }
}
