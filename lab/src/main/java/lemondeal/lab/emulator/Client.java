package lemondeal.lab.emulator;

/**
 * A client that wants a connection from its arrival until its life is over, whatever becomes of it meanwhile: refused,
 * failed, moved or broken off, it comes again through the front until its time is over or it gives up. Its pauses double
 * with each try that brought nothing; advice to come later is followed where it is longer than the pause.
 */
final class Client {
  /** What has become of it. */
  enum State { AWAY, WAITING, CONNECTED, GONE }

  private final World world;
  private final long number;
  private final int classIndex;
  private final int group;
  private final int zone;
  private final String key;
  private final double load;
  private final long until;
  private State state = State.AWAY;
  private int tries;
  private int requests;
  private boolean returned;
  private Connection connection;
  private Agenda.Entry swing;

  Client(World world, long number, int classIndex, int group, int zone, double load, long until) {
    this.world = world;
    this.number = number;
    this.classIndex = classIndex;
    this.group = group;
    this.zone = zone;
    this.load = load;
    this.until = until;
    key = String.format("%016x", number * 0x9e3779b97f4a7c15L);
  }

  long number() {
    return number;
  }

  int classIndex() {
    return classIndex;
  }

  /** Below 0 where it is alone. */
  int group() {
    return group;
  }

  int zone() {
    return zone;
  }

  String key() {
    return key;
  }

  /** Its usual load. */
  double load() {
    return load;
  }

  boolean returned() {
    return returned;
  }

  boolean isRetry() {
    return tries > 0;
  }

  long until() {
    return until;
  }

  State state() {
    return state;
  }

  Connection connection() {
    return connection;
  }

  Scenario.ClientClass kind() {
    return world.scenario().classes().get(classIndex);
  }

  /** Comes to the front: asks a proxy for a connection, or tries later where there is none. */
  void come() {
    if (state != State.AWAY) {
      return;
    }
    if (world.agenda().now() >= until) {
      leave();
      return;
    }
    state = State.WAITING;
    String request = String.format("%08x%08x", number, ++requests);
    world.front().open(this, request, world.agenda().now() + kind().deadline());
  }

  /** Served: the connection stands until one side ends it. */
  void connected(Connection made, long took) {
    state = State.CONNECTED;
    connection = made;
    tries = 0;
    world.figures().setUp(classIndex, took);
    world.agenda().at(until, () -> {
      if (connection == made) {
        connection = null;
        made.proxy().clientEnds(made);
        leave();
      }
    });
    planSwing(made);
  }

  private void planSwing(Connection made) {
    if (kind().changeEvery() > 0) {
      swing = world.agenda().after((long) (kind().changeEvery() * world.swingGap()), () -> {
        if (!made.isOver()) {
          made.swingTo(load * world.swing(classIndex));
          planSwing(made);
        }
      });
    }
  }

  private void stopSwing() {
    if (swing != null) {
      swing.cancel();
      swing = null;
    }
  }

  /** Refused or failed; {@code advice} is when to come again, 0 where nothing was said. */
  void turnedAway(long advice) {
    state = State.AWAY;
    Scenario.Front front = world.scenario().front();
    if (++tries >= front.giveUp()) {
      world.figures().gaveUp(classIndex);
      leave();
      return;
    }
    long pause = Math.min(front.retryMost(), front.retry() << Math.min(20, tries - 1));
    world.agenda().after(Math.max(advice, (long) (pause * (0.5 + world.retryDraw()))), this::come);
  }

  /** Moved, or broken off: comes again soon, and says so. */
  void cutOff() {
    stopSwing();
    connection = null;
    returned = true;
    state = State.AWAY;
    world.agenda().after((long) (world.scenario().front().move() * (0.5 + world.retryDraw())), this::come);
  }

  private void leave() {
    stopSwing();
    if (state != State.GONE) {
      state = State.GONE;
      world.clientLeft(this);
    }
  }
}
