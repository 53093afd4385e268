package lemondeal.membership;

import java.net.InetSocketAddress;

/**
 * One instance of a catalog, in the proxy's terms.
 *
 * @param id the same at every proxy, whatever address each uses to reach it, since all proxies must rank alike
 * @param zone the zone's name, empty if none is given
 * @param model the model's name, empty if none is given
 * @param cell 0 if none is given
 * @param passingWeight weight while all checks pass; 0 drains it
 * @param warningWeight weight while a check warns; 0 drains it
 * @param incarnation changes when the instance is registered again, which means a restart
 */
public record Member(String id, String zone, String model, int cell, InetSocketAddress address, Health health,
    int passingWeight, int warningWeight, long incarnation) {}
