package lemondeal.proxy;

import java.util.function.Function;
import lemondeal.codec.OpenLine;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.HostGroup;
import lemondeal.figures.RequestCounters;
import lemondeal.net.Net;
import lemondeal.net.Timers;
import lemondeal.resume.Continuity;

/** What a connection works with: the settings under which it came, and what goes by them. */
record Context(Generations generations, Config config, Net net, Timers timers, EventDispatcher dispatcher, DelayMeter delayMeter,
    RequestCounters figures, FinalAnswer answers, KnownServers servers, ViolationCounter violations, RequestTrace trace,
    Function<OpenLine, Continuity> continuityFactory) {

  /** What a request works with that begins now. */
  Context newest() {
    return generations.newest().context();
  }

  /** Where servers are now. */
  HostGroup group() {
    return generations.group();
  }

  /** How a new client's connection hangs together with others. */
  Continuity continuity(OpenLine openLine) {
    return continuityFactory.apply(openLine);
  }

  Limits limits() {
    return config.limits();
  }

  long now() {
    return timers.now();
  }
}
