package lemondeal.discovery;

import java.util.List;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerList;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.discovery.clock.ListClock;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/**
 * A source of server lists: the platform's discovery, or a catalog of another installation. Runs on the I/O thread. A
 * source passes {@link ServerList} events to the module, nothing else, and keeps the addresses in the
 * {@link HostGroup}. The module decides when to query; the source decides how.
 */
public interface ListSource {

  /** Creates the list source of a proxy. */
  interface Factory {
    /**
     * @param onServerList receives each list, on the I/O thread
     */
    ListSource create(Net net, Timers timers, Limits limits, Config config, HostGroup group,
        Consumer<ServerList> onServerList);
  }

  /** The platform's discovery at the configured address. */
  Factory PLATFORM = (net, timers, limits, config, group, onServerList) ->
      new Discovery(net, timers, limits, config, group, onServerList);

  /**
   * The lists from before this start, possibly stale; the module uses them until the source delivers newer ones. Called
   * once, before any other method; one list for each pool.
   *
   * @throws ProtocolException if the platform's configuration holds no such list
   */
  List<ServerList> savedLists() throws ProtocolException;

  /** Opens a watch in place of any other, or closes it. */
  void watch(boolean on);

  /**
   * Opens a watch before the module requests one; the module's request then finds it open. Discovery serves its calls
   * one after another, so a call that is closed and repeated would lose its place in the queue.
   */
  default void openWatchEarly() {
    watch(true);
  }

  /** Requests the full list once. */
  void fetch();

  /** The number of server pools that this source lists; their indices count from 0. */
  default int poolCount() {
    return 1;
  }

  /** For how long new requests may be sent by the pool's held list, in microseconds on the timers' clock. */
  ListClock.Validity validity(int pool);

  /**
   * The source starts with a list that an earlier source has delivered, since a configuration was reloaded: discovery's
   * changes count from the reload. Called after {@link #savedLists}.
   */
  default void continueHeldList() {
    // A source without limits on its lists has nothing to do.
  }

  /** Applies a configuration that was reloaded on SIGHUP and validated. */
  void reconfigure(Config newConfig);
}
