package lemondeal.discovery;

import java.util.List;
import java.util.function.Consumer;
import lemondeal.Balancer.ServerList;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/**
 * Where the list of servers comes from: the platform's discovery, or a catalogue of another installation. On the I/O
 * thread. A source tells the module {@link ServerList} events and nothing else, and keeps the addresses in the
 * {@link HostGroup}; when to ask is the module's to say, how to ask is the source's.
 */
public interface ListSource {

  /** Makes the source of a proxy. */
  interface Factory {
    /**
     * @param told is told each list, on the I/O thread
     */
    ListSource create(Net net, Timers timers, Limits limits, Config config, HostGroup group, Consumer<ServerList> onServerList);
  }

  /** The platform's discovery at the address that the configuration names. */
  Factory PLATFORM = (net, timers, limits, config, group, told) ->
      new Discovery(net, timers, limits, config, group, told);

  /**
   * The lists as they stood before this start, possibly old: what the module knows until the source tells better. Asked
   * for once, before anything else; one for each fleet.
   *
   * @throws ProtocolException where the platform's configuration holds no such list
   */
  List<ServerList> savedLists() throws ProtocolException;

  /** Begins a watch in place of any other, or ends it. */
  void watch(boolean on);

  /**
   * Begins a watch before the module asks for one; its asking finds this one then. Discovery works through its calls one
   * after another, and one that is made anew loses its place.
   */
  default void openWatchEarly() {
    watch(true);
  }

  /** Asks once for the whole list. */
  void fetch();

  /** Takes over a configuration read anew on SIGHUP and checked. */
  void reconfigure(Config newConfig);
}
