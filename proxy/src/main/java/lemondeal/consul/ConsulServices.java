package lemondeal.consul;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerList;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.discovery.ListSource;
import lemondeal.discovery.clock.ListClock;
import lemondeal.log.EventLog;

/**
 * The sources of all services in the operator's file, one pool for each, in the file's order. Requests of the module
 * go to every source: a source ignores a request for a watch that is already running, or for a list that is already
 * being fetched.
 */
public final class ConsulServices implements ListSource {
  private final List<ConsulSource> sources;

  private ConsulServices(List<ConsulSource> sources) {
    this.sources = sources;
  }

  /**
   * A factory for {@link lemondeal.proxy.Proxy}. The settings are already validated; the files are read when the proxy
   * is created.
   */
  public static ListSource.Factory factory(List<ConsulSettings> services, EventLog log,
      Consumer<ConsulServices> onCreated) {
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
  public int poolCount() {
    return sources.size();
  }

  @Override
  public ListClock.Validity validity(int pool) {
    return sources.get(pool).validity(pool);
  }

  @Override
  public void reconfigure(Config newConfig) {
    sources.forEach(source -> source.reconfigure(newConfig));
  }

  /**
   * Applies the services' new settings; the number of services and the assignment of classes to them stay unchanged.
   *
   * @throws IOException if a file can't be used; the services before it in the file have already applied their settings
   */
  public void reload(List<ConsulSettings> newSettings) throws IOException {
    if (newSettings.size() != sources.size()) {
      throw new IOException("found " + newSettings.size() + " services; allowed: " + sources.size()
          + ", as at startup; adding or removing a service requires a restart");
    }
    for (int i = 0; i < newSettings.size(); i++) {
      sources.get(i).reload(newSettings.get(i));
    }
  }

  /** Ends the calls and threads of all sources. */
  public void close() {
    sources.forEach(ConsulSource::close);
  }
}
