package lemondeal.membership;

import java.net.InetSocketAddress;

/**
 * One instance as a catalogue lists it, in the proxy's terms.
 *
 * @param id the same at every proxy, whatever address each reaches it at: all must rank alike
 * @param zone the zone's name, empty where none is given
 * @param model the model's name, empty where none is given
 * @param cell 0 where none is given
 * @param passingWeight its weight while it passes; 0 drains it
 * @param warningWeight its weight while a check warns; 0 drains it
 * @param incarnation another number when it was registered anew, which is a restart
 */
public record Member(String id, String zone, String model, int cell, InetSocketAddress address, Health health,
    int passingWeight, int warningWeight, long incarnation) {}
