package lemondeal.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import lemondeal.codec.HttpParser;
import lemondeal.codec.Json;
import lemondeal.codec.JsonObjectAssembler;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Limits;
import lemondeal.discovery.clock.ListClock;
import lemondeal.net.Dial;
import lemondeal.net.Link;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/**
 * One call to discovery, either a watch or a fetch of the full list. Ends exactly once: by failure or after its last
 * line.
 */
final class Call implements Link.Owner, HttpParser.Sink {

  /** Receives the lists that a call returns. */
  interface ListHandler {
    /**
     * @param list empty if a new watch has no changes to report yet
     * @param baseVersion the list version that the call's changes apply to
     * @return the list version that the next changes apply to
     * @throws ProtocolException if the list can't be parsed, which fails the call
     */
    long onList(Map<String, Object> list, long baseVersion) throws ProtocolException;
  }

  private static final int OK = 200;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Timers timers;
  private final Limits limits;
  private final ListClock clock;
  private final String path;
  private final boolean isWatch;
  private final ListHandler listHandler;
  private final Runnable onFailure;
  private final Consumer<String> onUnreadable;
  private final HttpParser parser;
  private final JsonObjectAssembler objects;
  private Dial dial;
  private Link link;
  private long connectedAt;
  private Timers.Timer silenceTimer;
  private Timers.Timer queueTimer;
  private long silenceDeadline;
  private long baseVersion;
  private boolean listReceived;
  private boolean finished;

  /**
   * @param clock is notified of the call's progress and determines when it has been silent for too long
   * @param baseVersion the list version held when the call is made
   * @param onFailure run once if the call ends without an answer, or if a watch ends for any reason
   * @param onUnreadable receives the reason if an answer can't be parsed
   */
  Call(Timers timers, Limits limits, ListClock clock, String path, boolean isWatch, long baseVersion,
      ListHandler listHandler, Runnable onFailure, Consumer<String> onUnreadable) {
    this.timers = timers;
    this.limits = limits;
    this.clock = clock;
    this.path = path;
    this.isWatch = isWatch;
    this.baseVersion = baseVersion;
    this.listHandler = listHandler;
    this.onFailure = onFailure;
    this.onUnreadable = onUnreadable;
    parser = new HttpParser(limits.maxListBytes(), this);
    objects = new JsonObjectAssembler(limits.maxListBytes());
  }

  void start(Net net, InetSocketAddress address) {
    String request = "GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
        + "\r\nAccept: application/json\r\n\r\n";
    clock.callStarted(timers.now());
    updateSilenceTimer();
    dial = net.dial(address, limits.discoveryConnectTimeout(), opened -> {
      link = opened;
      connectedAt = timers.now();
      queueTimer = timers.after(ListClock.MIN_QUEUE_WAIT, this::onQueued);
      link.start(this);
      link.send(request);
    }, this::onUnreachable);
  }

  /** Discovery has accepted the call and keeps it waiting: it works, however crowded it is. */
  private void onQueued() {
    if (!finished) {
      clock.discoveryReachable(timers.now());
    }
  }

  boolean isFinished() {
    return finished;
  }

  /** Ends the call without notifying the callbacks. */
  void stop() {
    finished = true;
    Timers.cancel(silenceTimer);
    Timers.cancel(queueTimer);
    if (dial != null) {
      dial.cancel();
    }
    if (link != null) {
      link.close();
    }
  }

  /**
   * Guards against discovery being cut off while its connection stays open, with no bytes or no complete line arriving.
   * The timer restarts only when the deadline moves: bytes that trickle in one at a time must not extend the call for
   * ever.
   */
  private void updateSilenceTimer() {
    if (clock.brokenAt() != silenceDeadline) {
      silenceDeadline = clock.brokenAt();
      Timers.cancel(silenceTimer);
      silenceTimer = timers.after(silenceDeadline - timers.now(), this::onSilence);
    }
  }

  /** Waits a moment longer before failing: this process itself may have been paused, with a line waiting to be read. */
  private void onSilence() {
    silenceTimer = timers.after(limits.pauseAllowance(), this::fail);
  }

  private void onUnreachable() {
    fail(clock::discoveryUnreachable);
  }

  /** Discovery has ended the call. Without any list before, that shows whether the call waited or discovery is down. */
  private void onEndedByDiscovery() {
    if (listReceived) {
      fail();
    } else {
      fail(now -> clock.callRejected(connectedAt, now));
    }
  }

  private void fail() {
    fail(clock::callFailed);
  }

  /** {@code notifyClock} gets the time of the failure. */
  private void fail(LongConsumer notifyClock) {
    if (!finished) {
      notifyClock.accept(timers.now());
      stop();
      onFailure.run();
    }
  }

  @Override
  public int receiveCapacity() {
    return Integer.MAX_VALUE;
  }

  @Override
  public void received(ByteBuffer bytes) {
    try {
      parser.parse(bytes);
      if (!finished) {
        clock.bytesReceived(timers.now());
        updateSilenceTimer();
      }
    } catch (ProtocolException e) {
      onUnreadable.accept(e.getMessage());
      fail();
    }
  }

  @Override
  public void endOfInput() {
    try {
      parser.endOfInput();
    } catch (ProtocolException e) {
      // A truncated answer is a failure.
    }
    onEndedByDiscovery();
  }

  @Override
  public void connectionLost() {
    onEndedByDiscovery();
  }

  @Override
  public void flushed() {
    // The request has been sent; the answer follows.
  }

  @Override
  public void status(int code) throws ProtocolException {
    if (code == SERVICE_UNAVAILABLE) {
      onUnreadable.accept("discovery responded with status " + code);
      onEndedByDiscovery();
    } else if (code != OK) {
      throw new ProtocolException("discovery responded with status " + code);
    }
  }

  @Override
  public void line(String line) throws ProtocolException {
    if (finished) {
      return;
    }
    if (line.isBlank() && !objects.isMidObject()) {
      if (isWatch && !listReceived) {
        deliver(Map.of());
      } else if (listReceived) {
        clock.lineReceived(timers.now());
      }
      return;
    }
    String object = objects.add(line);
    if (object != null) {
      deliver(Json.parseObject(object));
    }
  }

  private void deliver(Map<String, Object> list) throws ProtocolException {
    listReceived = true;
    baseVersion = listHandler.onList(list, baseVersion);
    if (!finished) {
      clock.lineReceived(timers.now());
    }
  }

  @Override
  public void end() {
    if (!finished) {
      if (listReceived && !isWatch && !objects.isMidObject()) {
        clock.listReceived(timers.now());
        stop();
      } else {
        fail();
      }
    }
  }
}
