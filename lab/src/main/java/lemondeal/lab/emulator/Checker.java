package lemondeal.lab.emulator;

import java.util.function.BiConsumer;
import lemondeal.Balancer.ServerList;

/** Checks one rule: receives a run's events and reports each breach. Independent of how the policy decides. */
abstract class Checker {
  private BiConsumer<String, String> breachHandler;

  /** @param handler receives the subject and a description of the breach */
  final void setBreachHandler(BiConsumer<String, String> handler) {
    breachHandler = handler;
  }

  final void breach(String subject, String what) {
    breachHandler.accept(subject, what);
  }

  abstract String rule();

  void arrived(String requestId, long deadline) { }

  void sent(String requestId, int proxyNumber, String serverName, Server server) { }

  void reached(String requestId, Server server) { }

  void attemptEnded(String requestId) { }

  void answered(String requestId, String answer) { }

  void overdue(String requestId) { }

  void lost(String requestId) { }

  void moved(String requestId, boolean hasConnection) { }

  void listReceived(int proxyNumber, ServerList list) { }
}
