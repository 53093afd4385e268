/**
 * A randomized soak test with fault injection: real proxy processes on the loopback network, with stand-in servers,
 * discovery and clients, under overlapping faults drawn from a seed. What the clients and servers observe is checked
 * against the rules of the protocol page; each {@link lemondeal.lab.soak.Violation} names the broken rule.
 */
package lemondeal.lab.soak;
