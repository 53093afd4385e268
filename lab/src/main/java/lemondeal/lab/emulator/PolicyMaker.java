package lemondeal.lab.emulator;

import lemondeal.Balancer;

/** Makes a policy's module for one proxy; each proxy's is its own, nothing is shared. */
public interface PolicyMaker {
  /**
   * @param node the proxy's number
   * @param truth the true state of all servers, for policies that are to show what full knowledge allows; others leave it
   */
  Balancer make(int node, Truth truth);

  /** What no real proxy can see. */
  interface Truth {
    /** Load over the present capacity of this server, infinite where it gives nothing; its queue counts as load. */
    double use(String server);

    /** Whether it would take a set-up now. */
    boolean takes(String server);
  }
}
