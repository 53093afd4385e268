package lemondeal.discovery;

import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerList;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config;
import lemondeal.config.Limits;
import lemondeal.net.Net;
import lemondeal.net.Timers;

/** Asks the platform's discovery on the module's word. When to ask again after a failure is the module's to say. */
public final class Discovery implements ListSource {
  private static final String LIST = "/api/targets";

  private final Net net;
  private final Timers timers;
  private final Limits limits;
  private final HostGroup group;
  private final Consumer<ServerList> told;
  private final Config atStart;
  private final List<Call> fetches = new ArrayList<>();
  private InetSocketAddress address;
  private Call watch;
  private boolean wanted;

  public Discovery(Net net, Timers timers, Limits limits, Config config, HostGroup group,
      Consumer<ServerList> told) {
    this.net = net;
    this.timers = timers;
    this.limits = limits;
    atStart = config;
    address = config.discovery();
    this.group = group;
    this.told = told;
  }

  /** The list in the configuration. */
  @Override
  public List<ServerList> saved() throws ProtocolException {
    return List.of(group.saved(atStart.known()));
  }

  /** Asks discovery where the configuration now says it is. */
  @Override
  public void reconfigure(Config fresh) {
    moveTo(fresh.discovery());
  }

  /**
   * From now on discovery is asked at this address: for a watch at once if the module wants one, and again for
   * each list that is still out. Guards against the old address being told as a failure: the module would then
   * wait before it asks again, and miss what the new address has to say in the meantime.
   */
  public void moveTo(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    List<Call> out = List.copyOf(fetches);
    fetches.clear();
    for (Call fetch : out) {
      if (!fetch.isOver()) {
        fetch.stop();
        fetch();
      }
    }
    if (wanted) {
      watch(true);
    }
  }

  @Override
  public void watch(boolean on) {
    wanted = on;
    if (watch != null) {
      watch.stop();
      watch = null;
    }
    if (on) {
      watch = call(true);
    }
  }

  @Override
  public void fetch() {
    fetches.removeIf(Call::isOver);
    fetches.add(call(false));
  }

  private Call call(boolean isWatch) {
    String path = isWatch ? LIST + "?stream=1&index=" + group.generation() : LIST;
    Call call = new Call(timers, limits, path, isWatch, this::listed, this::failed);
    call.start(net, address);
    return call;
  }

  private void listed(Map<String, Object> list) {
    try {
      told.accept(group.update(list));
    } catch (ProtocolException e) {
      // A list that can't be read: what is held stays, and a new watch begins with all that was missed.
      watch(false);
      failed();
    }
  }

  private void failed() {
    told.accept(new ServerList(group.generation(), ListKind.FAILED, List.of()));
  }
}
