package lemondeal.proxy;

import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Request;
import java.nio.ByteBuffer;
import lemondeal.codec.LineParser;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ProtocolException;
import lemondeal.codec.ServerLine;
import lemondeal.net.Link;
import lemondeal.net.Timers;
import lemondeal.resume.Continuity;

/**
 * A client's side of a connection behind its first line: its one final answer and, once its server says UP, what
 * passes between the two. Owns the executions of its request, one at a time.
 */
final class ClientLink implements Link.Owner, Continuity.Side {
  private static final long MILLI = 1000;

  private enum State { WAITING, UP, OVER }

  private final Context context;
  private final AdmissionControl admission;
  private final Link link;
  private final LineParser lines;
  private final OpenLine open;
  private final Continuity continuity;
  private final int requestClass;
  private State state = State.WAITING;
  private String id;
  private Request request;
  private long adoptUntil;
  private int attempts;
  private Execution execution;
  /** From UP on. */
  private PassiveHealthCheck health;
  private Timers.Timer timer;
  /** Whether the module knows of it. */
  private boolean admitted;
  private boolean moving;
  private boolean told;
  private boolean clientEnded;
  private boolean serverEnded;

  ClientLink(Context context, AdmissionControl admission, Link link, OpenLine open, int requestClass) {
    this.context = context;
    this.admission = admission;
    this.link = link;
    this.open = open;
    this.requestClass = requestClass;
    continuity = context.continuity(open);
    lines = new LineParser(context.limits().lineBytes());
  }

  /** The admission must have room. */
  void start() {
    long now = context.now();
    long due = now + (long) (open.deadlineMillis() * MILLI);
    id = admission.enter(this);
    // The client counts from its sending: what the module believes ends a little earlier.
    request = new Request(id, due - context.limits().answerLead(), requestClass, open.key(), open.value("g"),
        open.number("h"), false, open.marked("again"), 0, open.marked("r"));
    link.start(this);
    if (isAdoption()) {
      adoptUntil = now + context.limits().adoptFor();
      adopt();
    } else {
      timer = link.after(due - now, this::overdue);
      continuity.begin(this);
    }
  }

  @Override
  public void admit() {
    admitted = true;
    context.decisions().tell(new Arrived(request));
  }

  /** The id that the client gave its request; the module knows the request by another. */
  String givenId() {
    return open.id();
  }

  Link link() {
    return link;
  }

  /** Whether it is up and has not been sent away yet. */
  boolean isMovable() {
    return state == State.UP && !moving;
  }

  @Override
  public int room() {
    return switch (state) {
      case WAITING -> context.limits().lineBytes();
      default -> execution == null || execution.link() == null ? 0 : execution.link().free();
    };
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      if (state == State.UP) {
        toServer(bytes);
      } else if (state == State.WAITING) {
        // A client waits for its answer. What it sends all the same would be kept for a server that may never
        // be found, and a reading that had to be suspended for it would not see the client leave.
        refuse();
      }
    } catch (ProtocolException e) {
      breakOff(Outcome.CANCELLED);
    }
    bytes.position(bytes.limit());
  }

  // ---- Executions ----------------------------------------------------------------------------

  /** The first line as the server should see it. */
  String firstLine(long microsLeft, int attempt) {
    return continuity.firstLine(microsLeft / MILLI, attempt);
  }

  /** Whether the server's UP can be passed on; if not, its attempt has failed. */
  boolean takes(String upLine) {
    return continuity.takes(upLine);
  }

  void execute(String server, long patience) {
    if (state != State.WAITING || execution != null) {
      int number = attempts++;
      context.decisions().tell(new Ended(id, number, server, Outcome.NOT_SENT, 0, state == State.OVER, null));
      return;
    }
    long left = request.due() - context.now();
    execution = new Execution(context, this, server, attempts++);
    execution.start(patience == 0 ? left : Math.min(patience, left));
  }

  void cancel(int number) {
    if (execution != null && execution.number() == number && state != State.UP) {
      execution.cancel();
    }
  }

  /** A connection that was open before: its server is given, and no decision is made. */
  private void adopt() {
    long left = adoptUntil - context.now();
    if (left <= 0) {
      throttle(context.limits().throttleFor());
      return;
    }
    execution = new Execution(context, this, open.value("at"), attempts);
    execution.start(left);
  }

  private boolean isAdoption() {
    return open.value("at") != null;
  }

  void executionEnded(Execution ended, Outcome outcome, LoadReport report) {
    execution = null;
    overForContinuity();
    if (isAdoption() && !ended.isUp()) {
      if (state == State.WAITING) {
        timer = link.after(context.limits().adoptPause(), this::adopt);
      }
      return;
    }
    context.decisions().tell(new Ended(id, ended.number(), ended.server(), outcome, ended.elapsed(),
        state != State.WAITING, report));
  }

  void up(Execution from, String line) {
    state = State.UP;
    Timers.cancel(timer);
    health = new PassiveHealthCheck(context, link, request, from, () -> moveNow(Outcome.RESET));
    link.send(line + "\r\n" + continuity.up(from.number(), from.server(), line));
    context.figures().served(requestClass);
    if (isAdoption()) {
      context.decisions().tell(new Adopted(request, from.server()));
    } else {
      context.decisions().tell(new Established(id, from.number(), from.server(), from.elapsed()));
    }
    if (admission.isClosing()) {
      move();
    }
  }

  /** A server that ends a connection without UP has served it to its end. */
  void servedAtOnce(Execution from, String line, LoadReport report) {
    leave();
    context.answers().failed(link, requestClass, line + "\r\n");
    from.end(Outcome.SERVED, report);
  }

  // ---- Final answers -------------------------------------------------------------------------

  @Override
  public void throttle(long retryAfter) {
    if (state == State.WAITING) {
      leave();
      context.answers().busy(link, requestClass, retryAfter);
    }
  }

  void fail() {
    if (state == State.WAITING) {
      leave();
      context.answers().failed(link, requestClass);
    }
  }

  @Override
  public void fail(String line) {
    if (state == State.WAITING) {
      leave();
      context.answers().failed(link, requestClass, line + "\r\n");
    }
  }

  /** Guards the promise of an answer in time, should the module let a request lie. */
  private void overdue() {
    if (state == State.WAITING) {
      refuse();
    }
  }

  /** Ends the request from this side, with an answer and whatever the module makes of it. */
  private void refuse() {
    fail();
    gone();
  }

  private void clientGone() {
    leave();
    link.close();
    gone();
  }

  /** Tells the module that no answer is owed any more; an execution that it leaves out is ended all the same. */
  private void gone() {
    if (admitted) {
      context.decisions().tell(new ClientGone(id));
    }
    if (execution != null) {
      execution.cancel();
    }
  }

  private void leave() {
    state = State.OVER;
    Timers.cancel(timer);
    if (health != null) {
      health.stop();
    }
    admission.leave(id);
    overForContinuity();
  }

  /** Nothing goes on from here once the connection is over and no attempt of it can come up any more. */
  private void overForContinuity() {
    if (state == State.OVER && execution == null && !told) {
      told = true;
      continuity.over();
    }
  }

  // ---- Passing on ----------------------------------------------------------------------------

  private void toServer(ByteBuffer bytes) throws ProtocolException {
    ByteBuffer looked = bytes.duplicate();
    while (looked.hasRemaining()) {
      if (lines.next(looked) != null) {
        health.clientLine();
        continuity.fromClient();
      }
    }
    execution.link().send(bytes);
  }

  void lineFromServer(ServerLine line) {
    if (continuity.answers(line)) {
      health.serverLine(line);
    }
    if (moving) {
      moveNow(Outcome.CANCELLED);
    }
  }

  /**
   * Bytes that {@link #passLine} takes now, with room for a MOVE kept back. Guards against a client that reads
   * slowly: what the server's side has room for says nothing of the client's.
   */
  int roomTowardsClient() {
    return Math.max(0, link.free() - continuity.moveBytes());
  }

  /** Passes a whole line of the server on, for which there was room. */
  void passLine(String line) {
    link.send(continuity.fromServer(line));
  }

  /** A line of the proxy's own between two others. */
  @Override
  public boolean say(String line) {
    int bytes = line.length() + 2;
    if (state != State.UP || link.free() < bytes + continuity.moveBytes()) {
      return false;
    }
    link.send(line + "\r\n");
    return true;
  }

  @Override
  public void after(long micros, Runnable task) {
    link.after(micros, task);
  }

  @Override
  public void later(Runnable task) {
    context.net().later(() -> link.guarded(task));
  }

  void resume() {
    link.resume();
  }

  @Override
  public void flushed() {
    if (execution != null && execution.link() != null) {
      execution.link().resume();
    }
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /**
   * Ends the connection now, as nobody will be here to go on: with its MOVE, or with the answer that is owed. A request
   * whose server has not answered is failed and not throttled, since it may have run.
   */
  void endNow() {
    if (state == State.UP) {
      moveNow(Outcome.CANCELLED);
    } else if (state == State.WAITING) {
      refuse();
    }
  }

  /** Sends the client away between two lines, or after a while without the end of one. */
  void move() {
    if (state != State.UP || moving) {
      return;
    }
    moving = true;
    if (execution.betweenLines()) {
      moveNow(Outcome.CANCELLED);
    } else {
      Timers.cancel(timer);
      timer = link.after(context.limits().moveWithin(), () -> moveNow(Outcome.CANCELLED));
    }
  }

  /** A line of which only a part has come is left out: all that was passed on are whole ones. */
  private void moveNow(Outcome outcome) {
    if (state != State.UP) {
      return;
    }
    leave();
    if (link.free() >= continuity.moveBytes()) {
      link.send(continuity.move());
    }
    link.finish();
    execution.end(outcome, null);
  }

  /** The server has ended its sending, and so does this side: the other direction has a moment more. */
  void serverEnded() {
    serverEnded = true;
    link.endSending();
    oneEnded(!clientEnded);
  }

  private void oneEnded(boolean serverFirst) {
    if (clientEnded && serverEnded) {
      finishBoth(serverFirst);
    } else {
      Timers.cancel(timer);
      timer = link.after(context.limits().linger(), () -> finishBoth(serverFirst));
    }
  }

  private void finishBoth(boolean serverFirst) {
    if (state == State.UP) {
      leave();
      link.finish();
      execution.finish(serverFirst);
    }
  }

  /** Ends both sides at once: the server's connection broke, or one side does not keep to the protocol. */
  void breakOff(Outcome outcome) {
    leave();
    link.reset();
    execution.end(outcome, null);
  }

  @Override
  public void ended() {
    if (state == State.UP) {
      clientEnded = true;
      execution.link().endSending();
      oneEnded(serverEnded);
    } else if (state == State.WAITING) {
      // Most have left altogether; one that has only ended its sending still reads what it is owed.
      refuse();
    }
  }

  @Override
  public void broken() {
    switch (state) {
      case UP -> {
        leave();
        execution.reset();
      }
      case WAITING -> clientGone();
      default -> { }
    }
  }
}
