package lemondeal.proxy;

import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ClientGone;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.ServerEntry;
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
  private final OpenLine openLine;
  private final Continuity continuity;
  private final int requestClass;
  private final RequestRules rules;
  private State state = State.WAITING;
  private String id;
  private Request request;
  private long adoptionDeadline;
  private int attempts;
  private Execution execution;
  /** From UP on. */
  private Tunnel tunnel;
  private Timers.Timer timer;
  /** Whether the module knows of it. */
  private boolean admitted;
  private boolean continuityEnded;

  ClientLink(Context context, AdmissionControl admission, Link link, OpenLine openLine, int requestClass) {
    this.context = context;
    this.admission = admission;
    this.link = link;
    this.openLine = openLine;
    this.requestClass = requestClass;
    continuity = context.continuity(openLine);
    rules = new RequestRules(context.config().settings().classes().get(requestClass),
        context.config().settings().rules().drainGrace());
  }

  /** The admission must have room. */
  void start() {
    long now = context.now();
    long deadline = now + (long) (openLine.deadlineMillis() * MILLI);
    id = admission.register(this);
    context.trace().taken(openLine.id(), openLine.value("c"), openLine.deadlineMillis());
    // The client counts from its sending: what the module believes ends a little earlier.
    request = new Request(id, deadline - context.limits().clientDeadlineMargin(), requestClass, openLine.key(), openLine.value("g"),
        openLine.number("h"), false, openLine.isFlagSet("again"), 0, openLine.isFlagSet("r"));
    link.start(this);
    if (isAdoption()) {
      adoptionDeadline = now + context.limits().adoptTimeout();
      adopt();
    } else {
      timer = link.after(deadline - now, this::deadlineExpired);
      continuity.begin(this);
    }
  }

  @Override
  public void admit() {
    admitted = true;
    context.dispatcher().dispatch(new Arrived(request));
  }

  /** The id that the client gave its request; the module knows the request by another. */
  String clientRequestId() {
    return openLine.id();
  }

  Link link() {
    return link;
  }

  /** Whether it is up and has not been sent away yet. */
  boolean isMovable() {
    return state == State.UP && tunnel.isMovable();
  }

  @Override
  public int receiveCapacity() {
    return context.limits().maxLineBytes();
  }

  /**
   * A client waits for its answer. What it sends all the same would be kept for a server that may never be found, and a
   * reading that had to be suspended for it would not see the client leave.
   */
  @Override
  public void received(ByteBuffer bytes) {
    failAndAbandon(EndReason.CLIENT_DID_NOT_WAIT);
    bytes.position(bytes.limit());
  }

  // ---- Executions ----------------------------------------------------------------------------

  /** The first line as the server should see it. */
  String firstLine(long microsLeft, int attempt) {
    return continuity.firstLine(microsLeft / MILLI, attempt);
  }

  /** Whether the server's UP can be passed on; if not, its attempt has failed. */
  boolean acceptsUp(String upLine) {
    return continuity.takes(upLine);
  }

  /**
   * Whether the client still waits, by all that the system has of it already. Guards against sending on for one that
   * has gone: its end may stand in the socket behind what this turn is about.
   */
  boolean isStillWaiting() {
    if (state == State.WAITING) {
      link.readNow();
    }
    return state == State.WAITING;
  }

  void execute(String server, long timeout) {
    if (execution != null || !isStillWaiting()) {
      int attemptNumber = attempts++;
      context.dispatcher().dispatch(new Ended(id, attemptNumber, server, Outcome.NOT_SENT, 0, state == State.OVER, null));
      return;
    }
    long remaining = request.due() - context.now();
    context.trace().attempt(openLine.id(), attempts, server);
    execution = new Execution(context, this, server, attempts++);
    execution.start(timeout == 0 ? remaining : Math.min(timeout, remaining));
  }

  /**
   * Whether the first line may go out now. Asked with nothing between the answer and the write: what was decided may be
   * some time ago. A connection that was open before is the server's own, and goes back to it.
   */
  boolean maySend(Execution attempt) {
    if (!isAdoption()) {
      long now = context.now();
      ServerEntry server = context.servers().entry(attempt.server());
      long drainingSince = context.servers().drainingSince(attempt.server());
      Violation violation = rules.violationBySending(now, server, drainingSince);
      if (violation != null) {
        context.violations().count(violation, openLine.id(), "attempt " + attempt.number() + " at " + attempt.server() + " not sent");
        return false;
      }
      if (rules.isLateForDraining(now, drainingSince)) {
        return false;
      }
      rules.attemptSent(now, server);
    }
    context.trace().sent(openLine.id(), attempt.number());
    return true;
  }

  void cancel(int number) {
    if (execution != null && execution.number() == number && state != State.UP) {
      execution.cancel();
    }
  }

  /** A connection that was open before: its server is given, and no decision is made. */
  private void adopt() {
    if (!isStillWaiting()) {
      return;
    }
    long remaining = adoptionDeadline - context.now();
    if (remaining <= 0) {
      throttle(context.limits().throttleRetryAfter(), EndReason.NOT_ADOPTED);
      return;
    }
    execution = new Execution(context, this, openLine.value("at"), attempts);
    execution.start(remaining);
  }

  private boolean isAdoption() {
    return openLine.value("at") != null;
  }

  void executionEnded(Execution endedExecution, Outcome outcome, LoadReport report) {
    execution = null;
    rules.attemptEnded(outcome);
    context.trace().attemptEnded(openLine.id(), endedExecution.number(), outcome);
    endContinuity();
    if (isAdoption() && !endedExecution.cameUp()) {
      if (state == State.WAITING) {
        timer = link.after(context.limits().adoptRetryDelay(), this::adopt);
      }
      return;
    }
    context.dispatcher().dispatch(new Ended(id, endedExecution.number(), endedExecution.server(), outcome, endedExecution.elapsed(),
        state != State.WAITING, report));
  }

  /** What passes between client and server from now on, behind the server's answer. */
  Tunnel openTunnel(Execution attempt) {
    state = State.UP;
    Timers.cancel(timer);
    rules.answered();
    context.trace().up(openLine.id(), attempt.number());
    tunnel = new Tunnel(context, link, continuity, request, attempt, this::endRequest,
        reason -> context.trace().ended(openLine.id(), reason));
    return tunnel;
  }

  /** Passes the server's answer on. */
  void forwardUp(Execution attempt, String line) {
    link.send(line + "\r\n" + continuity.up(attempt.number(), attempt.server(), line));
    link.start(tunnel);
    context.figures().countServed(requestClass);
    if (isAdoption()) {
      context.dispatcher().dispatch(new Adopted(request, attempt.server()));
    } else {
      context.dispatcher().dispatch(new Established(id, attempt.number(), attempt.server(), attempt.elapsed()));
    }
    if (admission.isClosing()) {
      tunnel.move(EndReason.STOPPING);
    }
  }

  /** A server that ends a connection without UP has served it to its end. */
  void servedAtOnce(Execution attempt, String line, LoadReport report) {
    endRequest();
    context.answers().sendFailure(link, requestClass, line + "\r\n", openLine.id(), EndReason.SERVED_AT_ONCE);
    attempt.end(Outcome.SERVED, report);
  }

  // ---- Final answers -------------------------------------------------------------------------

  @Override
  public void throttle(long retryAfter) {
    throttle(retryAfter, EndReason.REFUSED_BY_SESSION);
  }

  /** Refuses, unless that would promise what is not so: then the request has failed. */
  void throttle(long retryAfter, EndReason reason) {
    Violation violation = state == State.WAITING && !isAdoption() ? rules.violationByRefusing() : null;
    if (violation != null) {
      context.violations().count(violation, openLine.id(), "failed in place of refused");
      fail(EndReason.REFUSAL_WITHHELD);
    } else if (state == State.WAITING) {
      endRequest();
      context.answers().sendBusy(link, requestClass, retryAfter, openLine.id(), reason);
    }
  }

  void fail(EndReason reason) {
    if (state == State.WAITING) {
      endRequest();
      context.answers().sendFailure(link, requestClass, openLine.id(), reason);
    }
  }

  @Override
  public void fail(String line) {
    if (state == State.WAITING) {
      endRequest();
      context.answers().sendFailure(link, requestClass, line + "\r\n", openLine.id(), EndReason.REFUSED_BY_SESSION);
    }
  }

  /** Guards the promise of an answer in time, should the module let a request lie. */
  private void deadlineExpired() {
    if (state == State.WAITING) {
      failAndAbandon(EndReason.OVERDUE);
    }
  }

  /** Ends the request from this side, with an answer and whatever the module makes of it. */
  private void failAndAbandon(EndReason reason) {
    fail(reason);
    abandonRequest();
  }

  private void clientGone() {
    context.trace().ended(openLine.id(), EndReason.CLIENT_GONE);
    endRequest();
    link.close();
    abandonRequest();
  }

  /** Tells the module that no answer is owed any more; an execution that it leaves out is ended all the same. */
  private void abandonRequest() {
    if (admitted) {
      context.dispatcher().dispatch(new ClientGone(id));
    }
    if (execution != null) {
      execution.cancel();
    }
  }

  private void endRequest() {
    state = State.OVER;
    rules.answered();
    Timers.cancel(timer);
    admission.unregister(id);
    endContinuity();
  }

  /** Nothing goes on from here once the connection is over and no attempt of it can come up any more. */
  private void endContinuity() {
    if (state == State.OVER && execution == null && !continuityEnded) {
      continuityEnded = true;
      continuity.over();
    }
  }

  // ---- Continuity ----------------------------------------------------------------------------

  @Override
  public boolean say(String line) {
    return state == State.UP && tunnel.sendLine(line);
  }

  @Override
  public void after(long micros, Runnable task) {
    link.after(micros, task);
  }

  @Override
  public void later(Runnable task) {
    context.net().execute(() -> link.runGuarded(task));
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /**
   * Ends the connection now, as nobody will be here to go on: with its MOVE, or with the answer that is owed. A request
   * whose server has not answered is failed and not throttled, since it may have run.
   */
  void endNow() {
    if (state == State.UP) {
      tunnel.moveNow(Outcome.CANCELLED, EndReason.STOPPING);
    } else if (state == State.WAITING) {
      failAndAbandon(EndReason.STOPPING);
    }
  }

  /** The process ends with it inside. All of them had their last word before; one that had not gets it now. */
  void endAtProcessExit() {
    if (state == State.WAITING || (state == State.UP && tunnel.isMovable())) {
      context.violations().count(Violation.ENDED_WITHOUT_ANSWER, openLine.id(), "inside at the process's end, in state " + state);
      endNow();
    }
  }

  void move(EndReason reason) {
    if (state == State.UP) {
      tunnel.move(reason);
    }
  }

  /** Most have left altogether; one that has only ended its sending still reads what it is owed. */
  @Override
  public void endOfInput() {
    failAndAbandon(EndReason.CLIENT_DID_NOT_WAIT);
  }

  @Override
  public void connectionLost() {
    if (state == State.WAITING) {
      clientGone();
    }
  }

  @Override
  public void flushed() {
    // Nothing is sent before the answer.
  }
}
