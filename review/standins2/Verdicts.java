import java.util.List;

/** The rules that the cases check. */
final class Verdicts {
  private Verdicts() {}

  /** Whether no OPEN came to these servers after the last moment in which it was allowed. */
  static int drained(Rig rig, List<LinkServer> servers, double lastAllowed, Clients clients) {
    if (clients.up.get() == 0 || servers.stream().allMatch(server -> server.opens().isEmpty())) {
      rig.say("could not run: no client was served");
      return Rig.NOT_RUN;
    }
    int late = 0;
    int cutOff = 0;
    double latest = 0;
    for (LinkServer server : servers) {
      for (LinkServer.Open open : server.opens()) {
        if (open.at() > lastAllowed) {
          late++;
          cutOff += server.cutOff().contains(open.id()) ? 1 : 0;
          latest = Math.max(latest, open.at());
          rig.note("late: " + open);
        }
      }
    }
    if (late == 0) {
      rig.say("held: no new work after the limit");
      return Rig.HELD;
    }
    rig.say(String.format("broken: %d new connections to draining servers after the limit, the last %.0f ms after it;"
        + " %d of them were cut off when their server stopped", late, latest - lastAllowed, cutOff));
    return Rig.BROKEN;
  }
}
