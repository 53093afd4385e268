package lemondeal.proxy;

import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.HostGroup;
import lemondeal.figures.Figures;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/** What every connection of this proxy works with. */
record Context(Config config, Net net, Timers timers, HostGroup group, Decisions decisions, DelayMeter delays,
    Figures figures, FinalAnswer answers) {

  Limits limits() {
    return config.limits();
  }

  long now() {
    return timers.now();
  }
}
