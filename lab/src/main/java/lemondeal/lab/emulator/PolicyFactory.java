package lemondeal.lab.emulator;

import lemondeal.Balancer;

/** Creates a policy's module for one proxy. Proxies share no module and no state. */
public interface PolicyFactory {
  /**
   * @param proxyNumber index of the proxy, from 0
   * @param oracle the true state of all servers, for policies that show what full knowledge allows; others ignore it
   */
  Balancer create(int proxyNumber, Oracle oracle);

  /** The true state of the servers, which no real proxy can see. */
  interface Oracle {
    /**
     * Load divided by the server's present capacity, with its backlog and queue counted as load; infinite if it has no
     * capacity.
     */
    double utilization(String server);

    /** Whether the server would accept a connection set-up now. */
    boolean acceptsSetUp(String server);
  }
}
