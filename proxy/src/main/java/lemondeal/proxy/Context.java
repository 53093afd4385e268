package lemondeal.proxy;

import java.util.function.Function;
import lemondeal.codec.OpenLine;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.HostGroup;
import lemondeal.figures.Figures;
import lemondeal.net.Net;
import lemondeal.net.Timers;
import lemondeal.resume.Continuity;

/** What every connection of this proxy works with. */
record Context(Config config, Net net, Timers timers, HostGroup group, Decisions decisions, DelayMeter delays,
    Figures figures, FinalAnswer answers, Function<OpenLine, Continuity> continuities) {

  /** How a new client's connection hangs together with others. */
  Continuity continuity(OpenLine open) {
    return continuities.apply(open);
  }

  Limits limits() {
    return config.limits();
  }

  long now() {
    return timers.now();
  }
}
