package lemondeal.lab.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Checks the guarantees of docs/RESUME-WIRE.md against what clients and servers observed. */
public final class ResumeChecker {
  private ResumeChecker() {}

  /**
   * Returns descriptions of all breaches. There is none if every acknowledged line is stored once and in order, each
   * client received the server's lines once and in order, and no session had two concurrent attempts.
   */
  public static List<String> breaches(SessionStore store, List<ResumingClient> clients) {
    List<String> breaches = new ArrayList<>();
    if (store.maxActiveAttempts() > 1) {
      breaches.add(store.maxActiveAttempts() + " attempts of one session were active at the same time");
    }
    Set<String> names = new HashSet<>();
    store.clientLinesBySession().forEach((session, lines) -> checkOrder(session, lines, names, breaches));
    for (ResumingClient client : clients) {
      breaches.addAll(client.breaches());
      if (!client.isDone()) {
        breaches.add(client.name() + " has sent " + client.sent() + " lines, " + client.acknowledged()
            + " are acknowledged, " + client.received() + " came back: " + client.eventCounts());
      }
      if (client.sent() > 0 && !names.contains(client.name())) {
        breaches.add(client.name() + ": none of its lines was stored");
      }
    }
    return breaches;
  }

  /** Checks that the lines of a session belong to one client and are numbered from 1 without a gap. */
  private static void checkOrder(String session, List<String> lines, Set<String> names, List<String> breaches) {
    for (int i = 0; i < lines.size(); i++) {
      String[] fields = lines.get(i).split(" ");
      names.add(fields[1]);
      if (!lines.get(0).startsWith("order " + fields[1] + " ") || Long.parseLong(fields[2]) != i + 1) {
        breaches.add("session " + session + ": line " + (i + 1) + " is '" + lines.get(i) + "'");
        return;
      }
    }
  }
}
