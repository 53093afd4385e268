package lemondeal.consul;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerList;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.discovery.ListSource;
import lemondeal.log.EventLog;

/**
 * The sources of all services that the operator's file names, one fleet each in the file's order. What the module wants
 * is passed to every one of them: asking for a watch that runs, or for a list that is out, changes nothing.
 */
public final class ConsulServices implements ListSource {
  private final List<ConsulSource> sources;

  private ConsulServices(List<ConsulSource> sources) {
    this.sources = sources;
  }

  /** A maker for {@link lemondeal.proxy.Proxy}; the settings are checked, the files read when the proxy is made. */
  public static ListSource.Factory factory(List<ConsulSettings> services, EventLog log, Consumer<ConsulServices> onCreated) {
    return (net, timers, limits, config, group, onServerList) -> {
      List<ConsulSource> sources = new ArrayList<>();
      try {
        for (ConsulSettings settings : services) {
          sources.add(new ConsulSource(net, timers, group, onServerList, settings, log, sources.size(), config.seed()));
        }
      } catch (IOException e) {
        sources.forEach(ConsulSource::close);
        throw new ConfigException("discovery.consul: " + e.getMessage());
      }
      ConsulServices consulServices = new ConsulServices(sources);
      onCreated.accept(consulServices);
      return consulServices;
    };
  }

  @Override
  public List<ServerList> savedLists() {
    List<ServerList> all = new ArrayList<>();
    sources.forEach(source -> all.addAll(source.savedLists()));
    return all;
  }

  @Override
  public void watch(boolean on) {
    sources.forEach(source -> source.watch(on));
  }

  @Override
  public void fetch() {
    sources.forEach(ConsulSource::fetch);
  }

  @Override
  public void reconfigure(Config newConfig) {
    sources.forEach(source -> source.reconfigure(newConfig));
  }

  /**
   * Takes the services' settings over as they are now; how many there are, and which class has which, stays as it was.
   *
   * @throws IOException where a file can't be used: services before it in the file have taken theirs
   */
  public void reload(List<ConsulSettings> newSettings) throws IOException {
    if (newSettings.size() != sources.size()) {
      throw new IOException("found " + newSettings.size() + " services; allowed: " + sources.size()
          + ", as at the start: a service more or less counts from the next start");
    }
    for (int i = 0; i < newSettings.size(); i++) {
      sources.get(i).reload(newSettings.get(i));
    }
  }

  /** Ends the calls and threads of all. */
  public void close() {
    sources.forEach(ConsulSource::close);
  }
}
