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
import lemondeal.resume.SessionContinuity;

/**
 * A request, from its client's first line to its one final answer, and its end. Owns the executions of the request, one
 * at a time, and handles the client's input until the server says UP; from then on a {@link Tunnel} does.
 */
final class ClientLink implements Link.Owner, SessionContinuity.ClientConnection {
  private static final long MICROS_PER_MILLI = 1000;

  private enum State { WAITING, UP, OVER }

  private final Context context;
  private final AdmissionControl admission;
  private final Link link;
  private final OpenLine openLine;
  private final RequestIds.Reservation idReservation;
  private final SessionContinuity continuity;
  private final int requestClass;
  private final RequestRules rules;
  private State state = State.WAITING;
  private String id;
  private Request request;
  private long adoptionDeadline;
  private int attempts;
  private Execution execution;
  /** Null until UP. */
  private Tunnel tunnel;
  private Timers.Timer timer;
  /** Whether the decision module has been given the request. */
  private boolean admitted;
  private boolean continuityEnded;

  /** {@code idReservation} is that of the line's id, and is released when the link has closed. */
  ClientLink(Context context, AdmissionControl admission, Link link, OpenLine openLine,
      RequestIds.Reservation idReservation, int requestClass) {
    this.context = context;
    this.admission = admission;
    this.link = link;
    this.openLine = openLine;
    this.idReservation = idReservation;
    this.requestClass = requestClass;
    continuity = context.continuity(openLine);
    rules = new RequestRules(context.config().settings().classes().get(requestClass),
        context.config().settings().rules().drainGrace());
  }

  /** Requires a free slot in the admission control. */
  void start() {
    long now = context.now();
    long deadline = now + (long) (openLine.deadlineMillis() * MICROS_PER_MILLI);
    id = admission.register(this);
    link.whenClosed(idReservation::release);
    context.trace().taken(openLine.id(), openLine.value("c"), openLine.deadlineMillis());
    // The client's deadline runs from when it sent the line, so the module gets a slightly earlier one.
    request = new Request(id, deadline - context.limits().clientDeadlineMargin(), requestClass, openLine.key(),
        openLine.value("g"), openLine.number("h"), false, openLine.isFlagSet("again"), 0, openLine.isFlagSet("r"));
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

  Link link() {
    return link;
  }

  /** Whether the connection is up, and neither moved nor ending yet. */
  boolean isMovable() {
    return state == State.UP && tunnel.isMovable();
  }

  @Override
  public int receiveCapacity() {
    return context.limits().maxLineBytes();
  }

  /**
   * A client must wait for its answer. Other input would have to be buffered for a server that may never be found, and
   * if reading were suspended because of it, the client's disconnect would go unnoticed.
   */
  @Override
  public void received(ByteBuffer bytes) {
    failAndAbandon(EndReason.CLIENT_DID_NOT_WAIT);
    bytes.position(bytes.limit());
  }

  // ---- Executions ----------------------------------------------------------------------------

  /** The first line as it is sent to the server. */
  String firstLine(long microsLeft, int attempt) {
    return continuity.firstLine(microsLeft / MICROS_PER_MILLI, attempt);
  }

  /** Whether the server's UP can be passed on; if not, its attempt has failed. */
  boolean acceptsUp(String upLine) {
    return continuity.acceptsUp(upLine);
  }

  /**
   * Whether the client still waits, after reading all that the operating system has received from it. Guards against
   * sending a request whose client has disconnected: the end of its stream may still be unread in the socket.
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
      context.dispatcher().dispatch(
          new Ended(id, attemptNumber, server, Outcome.NOT_SENT, 0, state == State.OVER, null));
      return;
    }
    long remaining = request.due() - context.now();
    context.trace().attempt(openLine.id(), attempts, server);
    execution = new Execution(context, this, server, attempts++);
    execution.start(timeout == 0 ? remaining : Math.min(timeout, remaining));
  }

  /**
   * Whether the first line may go out now. Called directly before the write, since the decision may have been made some
   * time ago. A connection that was open before belongs to its server, and returns there unchecked.
   */
  boolean maySend(Execution attempt) {
    if (!isAdoption()) {
      long now = context.now();
      ServerEntry server = context.servers().entry(attempt.server());
      long drainingSince = context.servers().drainingSince(attempt.server());
      Violation violation = rules.violationBySending(now, server, drainingSince);
      if (violation != null) {
        context.violations().count(violation, openLine.id(),
            "attempt " + attempt.number() + " at " + attempt.server() + " not sent");
        return false;
      }
      if (rules.isLateForDraining(now, drainingSince) || context.isListExpired(attempt.server())) {
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

  /** Connects a client whose connection was open before: its server is given, and the module makes no decision. */
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
    context.dispatcher().dispatch(new Ended(id, endedExecution.number(), endedExecution.server(), outcome,
        endedExecution.elapsed(), state != State.WAITING, report));
  }

  /** Starts relaying between client and server, after the server's answer. */
  Tunnel openTunnel(Execution attempt) {
    state = State.UP;
    Timers.cancel(timer);
    rules.answered();
    context.trace().up(openLine.id(), attempt.number());
    tunnel = new Tunnel(context, link, continuity, request, attempt, this::endRequest,
        reason -> context.trace().ended(openLine.id(), reason));
    return tunnel;
  }

  /** Forwards the server's answer. */
  void forwardUp(Execution attempt, String line) {
    link.send(line + "\r\n" + continuity.onUp(attempt.number(), attempt.server(), line));
    link.start(tunnel);
    context.counters().countServed(requestClass);
    if (isAdoption()) {
      context.dispatcher().dispatch(new Adopted(request, attempt.server()));
    } else {
      context.servers().accepted(attempt.server(), context.now() - attempt.elapsed());
      context.dispatcher().dispatch(new Established(id, attempt.number(), attempt.server(), attempt.elapsed()));
    }
    if (admission.isClosing()) {
      tunnel.move(EndReason.STOPPING);
    }
  }

  /** The server is ending the connection: its client may reconnect with the same id as soon as it sees that. */
  void admitReconnect() {
    idReservation.admitSameClient();
  }

  /** A server that ends a connection without UP has served the request completely. */
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

  /** Throttles the client, unless that would wrongly promise that a retry is harmless: then the request fails. */
  void throttle(long retryAfter, EndReason reason) {
    Violation violation = state == State.WAITING && !isAdoption() ? rules.violationByRefusing() : null;
    if (violation != null) {
      context.violations().count(violation, openLine.id(), "failed instead of refused");
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

  /** Guarantees an answer in time, should the module not decide on the request. */
  private void deadlineExpired() {
    if (state == State.WAITING) {
      failAndAbandon(EndReason.OVERDUE);
    }
  }

  /** Fails the request from this side, and reports it to the module as gone. */
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

  /** Reports to the module that no answer is owed any more, and cancels an execution that the module leaves running. */
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
    idReservation.admitSameClient();
    endContinuity();
  }

  /** Ends continuity once the connection is over and none of its attempts can come up any more. */
  private void endContinuity() {
    if (state == State.OVER && execution == null && !continuityEnded) {
      continuityEnded = true;
      continuity.onEnd();
    }
  }

  // ---- Continuity ----------------------------------------------------------------------------

  @Override
  public boolean sendLine(String line) {
    return state == State.UP && tunnel.sendLine(line);
  }

  @Override
  public void schedule(long micros, Runnable task) {
    link.after(micros, task);
  }

  @Override
  public void runOnEventLoop(Runnable task) {
    context.net().execute(() -> link.runGuarded(task));
  }

  // ---- Ends ----------------------------------------------------------------------------------

  /**
   * Ends the connection now, since this process is about to exit: with its MOVE, or with the answer that is owed. A
   * request whose server has not answered is failed and not throttled, since it may have run.
   */
  void endNow() {
    if (state == State.UP) {
      tunnel.moveNow(Outcome.CANCELLED, EndReason.STOPPING);
    } else if (state == State.WAITING) {
      failAndAbandon(EndReason.STOPPING);
    }
  }

  /**
   * The process exits while the request is open. Each client should have received its final line before; one that has
   * not gets it now.
   */
  void endAtProcessExit() {
    if (state == State.WAITING || (state == State.UP && tunnel.isMovable())) {
      context.violations().count(Violation.ENDED_WITHOUT_ANSWER, openLine.id(),
          "still open when the process ended, in state " + state);
      endNow();
    }
  }

  void move(EndReason reason) {
    if (state == State.UP) {
      tunnel.move(reason);
    }
  }

  /** Most such clients have disconnected; one that has only ended its sending still reads its answer. */
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
