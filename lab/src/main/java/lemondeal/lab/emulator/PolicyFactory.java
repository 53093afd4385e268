package lemondeal.lab.emulator;

import lemondeal.Balancer;

/** Makes a policy's module for one proxy; each proxy's is its own, nothing is shared. */
public interface PolicyFactory {
  /**
   * @param node the proxy's number
   * @param truth the true state of all servers, for policies that are to show what full knowledge allows; others leave it
   */
  Balancer create(int proxyNumber, Oracle oracle);

  /** What no real proxy can see. */
  interface Oracle {
    /** Load over the present capacity of this server, infinite where it gives nothing; its queue counts as load. */
    double utilization(String server);

    /** Whether it would take a set-up now. */
    boolean acceptsSetUp(String server);
  }
}
