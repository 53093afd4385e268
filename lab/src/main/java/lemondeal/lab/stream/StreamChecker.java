package lemondeal.lab.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The promises of docs/RESUME-WIRE.md, held against what clients and servers saw. */
public final class StreamChecker {
  private StreamChecker() {}

  /**
   * All breaches, in words; empty if every line that was acknowledged is there once and in order, the client got each of
   * the server's lines once and in order, and no two attempts of a session were out at the same time.
   */
  public static List<String> breaches(SessionStore store, List<ResumingClient> clients) {
    List<String> breaches = new ArrayList<>();
    if (store.mostAttempts() > 1) {
      breaches.add(store.mostAttempts() + " attempts of one session were out at the same time");
    }
    Set<String> names = new HashSet<>();
    store.all().forEach((session, applied) -> order(session, applied, names, breaches));
    for (ResumingClient client : clients) {
      breaches.addAll(client.breaches());
      if (!client.isDone()) {
        breaches.add(client.name() + " has sent " + client.sent() + " lines, " + client.acknowledged()
            + " are acknowledged, " + client.got() + " came back: " + client.notes());
      }
      if (client.sent() > 0 && !names.contains(client.name())) {
        breaches.add(client.name() + ": none of its lines was kept");
      }
    }
    return breaches;
  }

  /** The lines of a session must be those of one client, numbered from 1 without a gap. */
  private static void order(String session, List<String> applied, Set<String> names, List<String> breaches) {
    for (int i = 0; i < applied.size(); i++) {
      String[] words = applied.get(i).split(" ");
      names.add(words[1]);
      if (!applied.get(0).startsWith("order " + words[1] + " ") || Long.parseLong(words[2]) != i + 1) {
        breaches.add("session " + session + ": line " + (i + 1) + " is '" + applied.get(i) + "'");
        return;
      }
    }
  }
}
