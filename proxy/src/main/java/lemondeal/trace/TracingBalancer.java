package lemondeal.trace;

import java.util.List;
import java.util.function.LongSupplier;
import lemondeal.Balancer;
import lemondeal.log.EventLog;

/**
 * Decorates a decision module and logs each of its events and actions in one line, so that incidents can be analysed
 * over all proxies and single requests followed. Without tracing the decorator is not installed and costs nothing.
 *
 * <p>A line is {@code trace PROXY MILLIS TYPE name=value ...}, with wall-clock time, which all machines share.
 */
public final class TracingBalancer implements Balancer {
  private final Balancer delegate;
  private final EventLog log;
  private final String prefix;
  private final LongSupplier wallClockMillis;

  /** {@code wallClockMillis}: milliseconds since 1970. */
  public TracingBalancer(Balancer delegate, EventLog log, String proxy, LongSupplier wallClockMillis) {
    this.delegate = delegate;
    this.log = log;
    this.wallClockMillis = wallClockMillis;
    prefix = "trace " + proxy + " ";
  }

  @Override
  public List<Action> on(long now, Event event) {
    List<Action> actions = delegate.on(now, event);
    if (!(event instanceof Wake)) {
      writeLine(describe(now, event));
    }
    for (Action action : actions) {
      if (!(action instanceof WakeAfter) && !(action instanceof Log)) {
        writeLine(describe(action));
      }
    }
    return actions;
  }

  @Override
  public ServerSummary serverSummary(long now) {
    return delegate.serverSummary(now);
  }

  private void writeLine(String text) {
    log.info("trace", prefix + wallClockMillis.getAsLong() + " " + text);
  }

  /** Uses instanceof rather than a switch: pattern switches are only a preview in Java 17. */
  private static String describe(long now, Event event) {
    if (event instanceof Arrived e) {
      Request request = e.request();
      return "arrived id=" + request.id() + " class=" + request.requestClass() + " left=" + (request.due() - now) / 1000
          + " key=" + request.key() + " group=" + request.group() + " again=" + request.returned();
    } else if (event instanceof Adopted e) {
      return "adopted id=" + e.request().id() + " server=" + e.server() + " key=" + e.request().key();
    } else if (event instanceof Established e) {
      return "up id=" + e.id() + " server=" + e.server() + " ms=" + e.elapsed() / 1000;
    } else if (event instanceof Ended e) {
      return "ended id=" + e.id() + " server=" + e.server() + " outcome=" + e.outcome() + " ms=" + e.elapsed() / 1000
          + " over=" + e.requestFinished();
    } else if (event instanceof ProbeResult e) {
      LoadReport report = e.report();
      return "probed server=" + e.server() + " outcome=" + e.outcome() + " ms=" + e.elapsed() / 1000
          + (report == null ? "" : " demand=" + report.demand() + " held=" + report.openConnections());
    } else if (event instanceof MessageDelay e) {
      return "delay id=" + e.id() + " server=" + e.server() + " ms=" + Math.round(e.millis());
    } else if (event instanceof Unanswered e) {
      return "unanswered id=" + e.id() + " server=" + e.server();
    } else if (event instanceof ClientGone e) {
      return "gone id=" + e.id();
    } else if (event instanceof ServerList e) {
      StringBuilder line = new StringBuilder("list kind=" + e.kind() + " version=" + e.version());
      for (ServerEntry s : e.entries()) {
        line.append(' ').append(s.server()).append('=').append(s.state()).append('@').append(s.zone()).append('@')
            .append(s.startedAt());
      }
      return line.toString();
    } else if (event instanceof ListValidity e) {
      return "list-validity pool=" + e.pool() + " left="
          + (e.until() == ListValidity.UNLIMITED ? "unlimited" : String.valueOf((e.until() - now) / 1000))
          + " outage=" + e.outagePossible() + " accepted=" + e.afterAcceptance() / 1000;
    }
    return event.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
  }

  private static String describe(Action action) {
    if (action instanceof Send a) {
      return "send id=" + a.id() + " server=" + a.server() + " patience=" + a.timeout() / 1000;
    } else if (action instanceof Probe a) {
      return "probe server=" + a.server();
    } else if (action instanceof Refuse a) {
      return "refuse id=" + a.id() + " again=" + a.retryAfter() / 1000;
    } else if (action instanceof Fail a) {
      return "fail id=" + a.id();
    } else if (action instanceof Move a) {
      return "move id=" + a.id();
    }
    return action.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT);
  }
}
