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
import lemondeal.codec.OpenLine;
import lemondeal.net.Link;
import lemondeal.net.Timers;
import lemondeal.resume.Continuity;

/**
 * A request, from its client's first line to its one final answer, and its end. Owns the executions of the request, one
 * at a time, and hears the client's side until its server says UP; a {@link Tunnel} does from then on.
 */
final class ClientLink implements Link.Owner, Continuity.Side {
  private static final long MILLI = 1000;

  private enum State { WAITING, UP, OVER }

  private final Context context;
  private final AdmissionControl admission;
  private final Link link;
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
  private Tunnel tunnel;
  private Timers.Timer timer;
  /** Whether the module knows of it. */
  private boolean admitted;
  private boolean told;

  ClientLink(Context context, AdmissionControl admission, Link link, OpenLine open, int requestClass) {
    this.context = context;
    this.admission = admission;
    this.link = link;
    this.open = open;
    this.requestClass = requestClass;
    continuity = context.continuity(open);
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
    return state == State.UP && tunnel.isMovable();
  }

  @Override
  public int room() {
    return context.limits().lineBytes();
  }

  /**
   * A client waits for its answer. What it sends all the same would be kept for a server that may never be found, and a
   * reading that had to be suspended for it would not see the client leave.
   */
  @Override
  public void received(ByteBuffer bytes) {
    refuse();
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

  /**
   * Whether the client still waits, by all that the system has of it already. Guards against sending on for one that
   * has gone: its end may stand in the socket behind what this turn is about.
   */
  boolean stillWaits() {
    if (state == State.WAITING) {
      link.readNow();
    }
    return state == State.WAITING;
  }

  void execute(String server, long patience) {
    if (execution != null || !stillWaits()) {
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
    if (!stillWaits()) {
      return;
    }
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
    if (isAdoption() && !ended.cameUp()) {
      if (state == State.WAITING) {
        timer = link.after(context.limits().adoptPause(), this::adopt);
      }
      return;
    }
    context.decisions().tell(new Ended(id, ended.number(), ended.server(), outcome, ended.elapsed(),
        state != State.WAITING, report));
  }

  /** What passes between client and server from now on, behind the server's answer. */
  Tunnel open(Execution from) {
    state = State.UP;
    Timers.cancel(timer);
    tunnel = new Tunnel(context, link, continuity, request, from, this::leave);
    return tunnel;
  }

  /** Passes the server's answer on. */
  void up(Execution from, String line) {
    link.send(line + "\r\n" + continuity.up(from.number(), from.server(), line));
    link.start(tunnel);
    context.figures().served(requestClass);
    if (isAdoption()) {
      context.decisions().tell(new Adopted(request, from.server()));
    } else {
      context.decisions().tell(new Established(id, from.number(), from.server(), from.elapsed()));
    }
    if (admission.isClosing()) {
      tunnel.move();
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

  // ---- Continuity ----------------------------------------------------------------------------

  @Override
  public boolean say(String line) {
    return state == State.UP && tunnel.say(line);
  }

  @Override
  public void after(long micros, Runnable task) {
    link.after(micros, task);
  }

  @Override
  public void later(Runnable task) {
    context.net().later(() -> link.guarded(task));
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /**
   * Ends the connection now, as nobody will be here to go on: with its MOVE, or with the answer that is owed. A request
   * whose server has not answered is failed and not throttled, since it may have run.
   */
  void endNow() {
    if (state == State.UP) {
      tunnel.moveNow(Outcome.CANCELLED);
    } else if (state == State.WAITING) {
      refuse();
    }
  }

  void move() {
    if (state == State.UP) {
      tunnel.move();
    }
  }

  /** Most have left altogether; one that has only ended its sending still reads what it is owed. */
  @Override
  public void ended() {
    refuse();
  }

  @Override
  public void broken() {
    if (state == State.WAITING) {
      clientGone();
    }
  }

  @Override
  public void flushed() {
    // Nothing is sent before the answer.
  }
}
