package lemondeal.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
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

/** One call to discovery, for a watch or for the whole list. Ends once: by failure, or with its last line. */
final class Call implements Link.Owner, HttpParser.Sink {

  /** Takes the lists that a call brings. */
  interface ListHandler {
    /**
     * @param list empty for a watch that has nothing new to say at first
     * @param since the version that the call goes on from
     * @return the version that it goes on from now
     * @throws ProtocolException if the list can't be read: the call has failed then
     */
    long onList(Map<String, Object> list, long baseVersion) throws ProtocolException;
  }

  private static final int OK = 200;

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
  private Timers.Timer silenceTimer;
  private long silenceDeadline;
  private long baseVersion;
  private boolean listReceived;
  private boolean finished;

  /**
   * @param clock is told what this call hears, and says when it has been silent for too long
   * @param since the version held as the call is made
   * @param failed is told once, if the call ends without answer or a watch ends at all
   * @param unreadable is told why, if an answer can't be read
   */
  Call(Timers timers, Limits limits, ListClock clock, String path, boolean isWatch, long baseVersion, ListHandler listHandler,
      Runnable onFailure, Consumer<String> onUnreadable) {
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
      clock.discoveryReachable(timers.now());
      link.start(this);
      link.send(request);
    }, this::onUnreachable);
  }

  boolean isFinished() {
    return finished;
  }

  /** Ends the call without a word. */
  void stop() {
    finished = true;
    Timers.cancel(silenceTimer);
    if (dial != null) {
      dial.cancel();
    }
    if (link != null) {
      link.close();
    }
  }

  /**
   * Guards against a discovery that is cut off: its connection stays open and says nothing, or nothing whole. Whatever
   * does not move the end of patience must not begin it anew: bytes that come one by one would go on for ever.
   */
  private void updateSilenceTimer() {
    if (clock.brokenAt() != silenceDeadline) {
      silenceDeadline = clock.brokenAt();
      Timers.cancel(silenceTimer);
      silenceTimer = timers.after(silenceDeadline - timers.now(), this::onSilence);
    }
  }

  /** Looks again a moment later: it may be this process that stood still, with a line waiting to be read. */
  private void onSilence() {
    silenceTimer = timers.after(limits.pauseAllowance(), this::fail);
  }

  private void onUnreachable() {
    if (!finished) {
      clock.discoveryUnreachable(timers.now());
      fail();
    }
  }

  private void fail() {
    if (!finished) {
      clock.callFailed(timers.now());
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
      // An answer that breaks off has failed.
    }
    fail();
  }

  @Override
  public void connectionLost() {
    fail();
  }

  @Override
  public void flushed() {
    // The request is sent; its answer is awaited.
  }

  @Override
  public void status(int code) throws ProtocolException {
    if (code != OK) {
      throw new ProtocolException("discovery answers " + code);
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
