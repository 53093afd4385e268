package lemondeal.lab.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The promises of docs/RESUME-WIRE.md, held against what clients and servers saw. */
public final class ResumeChecker {
  private ResumeChecker() {}

  /**
   * All breaches, in words; empty if every line that was acknowledged is there once and in order, the client got each of
   * the server's lines once and in order, and no two attempts of a session were out at the same time.
   */
  public static List<String> breaches(SessionStore store, List<ResumingClient> clients) {
    List<String> breaches = new ArrayList<>();
    if (store.maxActiveAttempts() > 1) {
      breaches.add(store.maxActiveAttempts() + " attempts of one session were out at the same time");
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
        breaches.add(client.name() + ": none of its lines was kept");
      }
    }
    return breaches;
  }

  /** The lines of a session must be those of one client, numbered from 1 without a gap. */
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
