package lemondeal.proxy;

import java.util.function.Function;
import lemondeal.codec.OpenLine;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.HostGroup;
import lemondeal.figures.RequestCounters;
import lemondeal.net.Net;
import lemondeal.net.Timers;
import lemondeal.resume.SessionContinuity;

/** What the code of a connection uses: the settings in force when it was accepted, and what depends on them. */
record Context(Generations generations, Config config, Net net, Timers timers, EventDispatcher dispatcher,
    DelayMeter delayMeter, RequestCounters counters, FinalAnswer answers, KnownServers servers,
    ViolationCounter violations, RequestTrace trace, Function<OpenLine, SessionContinuity> continuityFactory) {

  /** The context of a request that begins now. */
  Context newest() {
    return generations.newest().context();
  }

  /** The current addresses of the servers. */
  HostGroup group() {
    return generations.group();
  }

  /** Whether the list that names the server is too old to send a new request there. */
  boolean isListExpired(String server) {
    return servers.isListExpired(server, generations.listValidity(servers.pool(server)), now());
  }

  /** How a new client's connection relates to earlier and later ones of the same session. */
  SessionContinuity continuity(OpenLine openLine) {
    return continuityFactory.apply(openLine);
  }

  Limits limits() {
    return config.limits();
  }

  long now() {
    return timers.now();
  }
}
