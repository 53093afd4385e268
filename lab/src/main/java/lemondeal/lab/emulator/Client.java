package lemondeal.lab.emulator;

/**
 * A client that wants a connection from its arrival until the end of its lifetime. After a refusal, a failure, a move
 * or a broken connection it retries through the front end balancer until its lifetime ends or it gives up. The retry
 * delay doubles with each rejection in a row (exponential backoff); a longer retry-after time of the proxy takes
 * precedence.
 */
final class Client {
  enum State { DISCONNECTED, WAITING, CONNECTED, LEFT }

  private final Simulation simulation;
  private final long number;
  private final int classIndex;
  private final int group;
  private final int zone;
  private final String key;
  private final double load;
  private final long leaveTime;
  private State state = State.DISCONNECTED;
  private int rejections;
  private int requestCount;
  private boolean reconnecting;
  private Connection connection;
  private EventScheduler.ScheduledEvent nextLoadChange;

  Client(Simulation simulation, long number, int classIndex, int group, int zone, double load, long leaveTime) {
    this.simulation = simulation;
    this.number = number;
    this.classIndex = classIndex;
    this.group = group;
    this.zone = zone;
    this.load = load;
    this.leaveTime = leaveTime;
    key = String.format("%016x", number * 0x9e3779b97f4a7c15L);
  }

  long number() {
    return number;
  }

  int classIndex() {
    return classIndex;
  }

  /** Below 0 for a client without a group. */
  int group() {
    return group;
  }

  int zone() {
    return zone;
  }

  String key() {
    return key;
  }

  /** The client's mean load, around which a connection's load varies. */
  double load() {
    return load;
  }

  boolean reconnecting() {
    return reconnecting;
  }

  boolean isRetry() {
    return rejections > 0;
  }

  long leaveTime() {
    return leaveTime;
  }

  State state() {
    return state;
  }

  Connection connection() {
    return connection;
  }

  Scenario.ClientClass clientClass() {
    return simulation.scenario().classes().get(classIndex);
  }

  /** Requests a connection through the front end balancer; retries later if no proxy is available. */
  void requestConnection() {
    if (state != State.DISCONNECTED) {
      return;
    }
    if (simulation.scheduler().now() >= leaveTime) {
      leave();
      return;
    }
    state = State.WAITING;
    String requestId = String.format("%08x%08x", number, ++requestCount);
    simulation.frontEnd().forward(this, requestId, simulation.scheduler().now() + clientClass().deadline());
  }

  /** The connection is established, and lasts until one side closes it. */
  void connectionEstablished(Connection newConnection, long setUpTime) {
    state = State.CONNECTED;
    connection = newConnection;
    rejections = 0;
    simulation.figures().setUpCompleted(classIndex, setUpTime);
    simulation.scheduler().at(leaveTime, () -> {
      if (connection == newConnection) {
        connection = null;
        newConnection.proxy().closedByClient(newConnection);
        leave();
      }
    });
    scheduleLoadChange(newConnection);
  }

  private void scheduleLoadChange(Connection current) {
    if (clientClass().loadChangeInterval() > 0) {
      nextLoadChange = simulation.scheduler().after(
          (long) (clientClass().loadChangeInterval() * simulation.nextLoadChangeGap()), () -> {
            if (!current.isEnded()) {
              current.setLoad(load * simulation.nextLoadFactor(classIndex));
              scheduleLoadChange(current);
            }
          });
    }
  }

  private void cancelLoadChange() {
    if (nextLoadChange != null) {
      nextLoadChange.cancel();
      nextLoadChange = null;
    }
  }

  /** The request was refused or failed; {@code retryAfter} is the proxy's advice, 0 if it gave none. */
  void rejected(long retryAfter) {
    state = State.DISCONNECTED;
    Scenario.FrontEnd frontEnd = simulation.scenario().frontEnd();
    if (++rejections >= frontEnd.maxRejections()) {
      simulation.figures().gaveUp(classIndex);
      leave();
      return;
    }
    long delay = Math.min(frontEnd.maxRetryDelay(), frontEnd.retryDelay() << Math.min(20, rejections - 1));
    simulation.scheduler().after(Math.max(retryAfter, (long) (delay * (0.5 + simulation.nextRetryJitter()))),
        this::requestConnection);
  }

  /** The connection was moved or broken: the client reconnects soon, and its request is marked as a return. */
  void connectionLost() {
    cancelLoadChange();
    connection = null;
    reconnecting = true;
    state = State.DISCONNECTED;
    simulation.scheduler().after(
        (long) (simulation.scenario().frontEnd().reconnectDelay() * (0.5 + simulation.nextRetryJitter())),
        this::requestConnection);
  }

  private void leave() {
    cancelLoadChange();
    if (state != State.LEFT) {
      state = State.LEFT;
      simulation.clientLeft(this);
    }
  }
}
