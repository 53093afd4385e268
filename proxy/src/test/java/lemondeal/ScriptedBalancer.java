package lemondeal;

import java.util.List;
import java.util.function.Function;

/** A test double of the decision module: the test decides the actions of each event and the server summary. */
public final class ScriptedBalancer implements Balancer {
  private final Function<Event, List<Action>> script;
  public volatile ServerSummary summary = new ServerSummary(true, 1, 0);

  public ScriptedBalancer(Function<Event, List<Action>> script) {
    this.script = script;
  }

  @Override
  public List<Action> on(long now, Event event) {
    return script.apply(event);
  }

  @Override
  public ServerSummary serverSummary(long now) {
    return summary;
  }
}
