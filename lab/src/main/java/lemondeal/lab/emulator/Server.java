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
  private static final double LEAST = 0.05;
  private static final long STEP = 100_000;

  /** Whether and how it lives. */
  public enum State { RUNNING, HUNG, DRAINING, DEAD }

  /** A set-up on its way through the server. */
  private static final class Job implements Comparable<Job> {
    private final double work;
    private final Runnable done;
    private final long number;
    private double endsAt;
    private boolean cancelled;

    Job(double work, Runnable done, long number) {
      this.work = work;
      this.done = done;
      this.number = number;
    }

    @Override
    public int compareTo(Job other) {
      return endsAt != other.endsAt ? Double.compare(endsAt, other.endsAt) : Long.compare(number, other.number);
    }
  }

  /** A way to call a job off. */
  interface Cancel {
    void cancel();
  }

  private final Agenda agenda;
  private final String name;
  private final Scenario.Fleet fleet;
  private final int zone;
  private final int model;
  private final double groupLoad;
  private long startedAt;
  private State state = State.RUNNING;
  private double slowness = 1;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final Map<Integer, Integer> groups = new HashMap<>();
  private final int[] perClass;
  private double load;
  private double backlog;
  /** Work that each busy core has done since the beginning, in microseconds: the clock of the jobs. */
  private double workClock;
  private long updatedAt;
  private final PriorityQueue<Job> inWork = new PriorityQueue<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private long jobs;
  private Agenda.Entry next;

  Server(Agenda agenda, String name, Scenario.Fleet fleet, int model, int zone, double groupLoad,
      int classes, long startedAt) {
    perClass = new int[classes];
    this.agenda = agenda;
    this.name = name;
    this.fleet = fleet;
    this.model = model;
    this.zone = zone;
    this.groupLoad = groupLoad;
    this.startedAt = startedAt;
    updatedAt = agenda.now();
  }

  public String name() {
    return name;
  }

  public Scenario.Fleet fleet() {
    return fleet;
  }

  public int zone() {
    return zone;
  }

  int model() {
    return model;
  }

  public State state() {
    return state;
  }

  /** Microseconds on the run's clock; below 0 for long before it. */
  long startedAt() {
    return startedAt;
  }

  public int held() {
    return connections.size();
  }

  /** Connections of this class. */
  int held(int classIndex) {
    return perClass[classIndex];
  }

  Set<Connection> connections() {
    return connections;
  }

  /** Set-ups in work and waiting. */
  public int queued() {
    return inWork.size() + waiting.size();
  }

  /** Load of the connections over the present capacity of the cores. */
  public double use() {
    double capacity = capacity(agenda.now());
    return capacity <= 0 ? Double.POSITIVE_INFINITY : load / capacity;
  }

  /** Load of the connections over the capacity of the cores when warm and sound. */
  public double loadShare() {
    return load / (fleet.cores() * Scenario.SECOND);
  }

  /** Seconds that the backlog takes to work off at the present capacity. */
  double backlogSeconds() {
    double capacity = capacity(agenda.now());
    return capacity <= 0 ? Double.POSITIVE_INFINITY : backlog / capacity;
  }

  /** Microseconds of work a second that the cores give now. */
  public double capacity(long at) {
    if (state == State.DEAD || state == State.HUNG) {
      return 0;
    }
    double full = fleet.slots() <= 0 ? 0 : Math.min(1, connections.size() / (double) fleet.slots());
    return fleet.cores() * Scenario.SECOND / slowness * warmth(at) * (1 - fleet.choke() * full * full);
  }

  /** Share of its capacity that its start still leaves it. */
  double warmth(long at) {
    if (fleet.warmWithin() <= 0 || startedAt < 0 || at >= startedAt + fleet.warmWithin()) {
      return 1;
    }
    return fleet.coldFrom() + (1 - fleet.coldFrom()) * (at - startedAt) / fleet.warmWithin();
  }

  /** Share of messages answered within so many microseconds now. */
  public double inTime(long aim) {
    double behind = backlogSeconds();
    double use = use();
    double left = aim / (double) Scenario.SECOND - behind;
    if (left <= 0 || use >= 1 || Double.isInfinite(behind)) {
      return 0;
    }
    return 1 - StrictMath.exp(-(1 - use) * left / (MESSAGE_SECONDS * slowness));
  }

  /** Milliseconds that a message takes now, on average. */
  double messageMillis() {
    double use = Math.min(use(), 0.999);
    return 1000 * (backlogSeconds() + MESSAGE_SECONDS * slowness / (1 - use));
  }

  // ---- Changes ----------------------------------------------------------------------------------

  /** Brings everything up to the present. Called before whatever changes its capacity or load. */
  void update() {
    long now = agenda.now();
    while (updatedAt < now) {
      long to = warmth(updatedAt) < 1 ? Math.min(now, updatedAt + STEP) : now;
      double seconds = (to - updatedAt) / (double) Scenario.SECOND;
      double capacity = capacity((updatedAt + to) / 2);
      backlog = Math.max(0, backlog + (load - capacity) * seconds);
      workClock += speed(capacity) * seconds * Scenario.SECOND;
      updatedAt = to;
    }
    finishJobs();
  }

  /** How fast a core works on a set-up beside what the connections take. */
  private double speed(double capacity) {
    double whole = capacity / (fleet.cores() * Scenario.SECOND);
    return capacity <= 0 ? 0 : whole * Math.max(LEAST, 1 - load / capacity);
  }

  private void finishJobs() {
    List<Job> done = new ArrayList<>(2);
    while (!inWork.isEmpty() && inWork.peek().endsAt <= workClock + 1e-6) {
      done.add(inWork.poll());
      startJobs();
    }
    for (Job job : done) {
      if (!job.cancelled) {
        job.done.run();
      }
    }
  }

  private void startJobs() {
    while (inWork.size() < Math.max(1, (int) Math.round(fleet.cores())) && !waiting.isEmpty()) {
      Job job = waiting.poll();
      if (!job.cancelled) {
        job.endsAt = workClock + job.work;
        inWork.add(job);
      }
    }
  }

  /** Plans a look at the time at which the next job ends, as far as can be said now. */
  private void plan() {
    if (next != null) {
      next.cancel();
      next = null;
    }
    double speed = speed(capacity(agenda.now()));
    if (!inWork.isEmpty() && speed > 0) {
      long wait = Math.max(1, (long) Math.ceil((inWork.peek().endsAt - workClock) / speed));
      next = agenda.after(warmth(agenda.now()) < 1 ? Math.min(wait, STEP) : wait, this::look);
    }
  }

  private void look() {
    next = null;
    update();
    plan();
  }

  /** Whether a set-up may come in: it has a slot left and its room is not full. */
  boolean hasRoom() {
    update();
    return state == State.RUNNING && connections.size() + queued() < fleet.slots()
        && waiting.size() < fleet.room();
  }

  /** Takes a set-up of this much work in; {@code done} runs when it is ready. */
  Cancel setUp(double work, Runnable done) {
    update();
    Job job = new Job(work, done, jobs++);
    waiting.add(job);
    startJobs();
    plan();
    return () -> job.cancelled = true;
  }

  void add(Connection connection) {
    update();
    connections.add(connection);
    perClass[connection.client().classIndex()]++;
    load += connection.load();
    if (connection.group() >= 0 && groups.merge(connection.group(), 1, Integer::sum) == 1) {
      load += groupLoad;
    }
    plan();
  }

  void remove(Connection connection) {
    update();
    if (connections.remove(connection)) {
      perClass[connection.client().classIndex()]--;
      load = Math.max(0, load - connection.load());
      if (connection.group() >= 0 && groups.merge(connection.group(), -1, Integer::sum) == 0) {
        groups.remove(connection.group());
        load = Math.max(0, load - groupLoad);
      }
    }
    plan();
  }

  /** A connection's load changes by so much. */
  void swing(double by) {
    update();
    load = Math.max(0, load + by);
    plan();
  }

  void slow(double times) {
    update();
    slowness = times;
    plan();
  }

  void become(State fresh) {
    update();
    state = fresh;
    if (fresh == State.DEAD) {
      inWork.clear();
      waiting.clear();
      backlog = 0;
    }
    plan();
  }

  /** Starts again under its name, cold and with nothing. */
  void restart() {
    update();
    state = State.RUNNING;
    startedAt = agenda.now();
    slowness = 1;
    plan();
  }
}
