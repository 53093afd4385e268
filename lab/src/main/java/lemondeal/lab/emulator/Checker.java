package lemondeal.lab.emulator;

import java.util.function.BiConsumer;
import lemondeal.Balancer.ServerList;

/** One rule. Hears what happens and tells each breach; knows nothing of how the policy decides. */
abstract class Checker {
  private BiConsumer<String, String> told;

  /** @param breach takes the subject and what happened */
  final void tellTo(BiConsumer<String, String> breach) {
    told = breach;
  }

  final void breach(String subject, String what) {
    told.accept(subject, what);
  }

  abstract String rule();

  void arrived(String request, long due) { }

  void sent(String request, int proxy, String name, Server server) { }

  void reached(String request, Server server) { }

  void attemptOver(String request) { }

  void answered(String request, String what) { }

  void overdue(String request) { }

  void lost(String request) { }

  void moved(String request, boolean stands) { }

  void listed(int proxy, ServerList list) { }
}
