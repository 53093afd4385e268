package lemondeal;

import java.util.List;
import java.util.function.Function;

/** A module that answers each event as a test says, and stands to its list as the test says too. */
public final class Scripted implements Balancer {
  private final Function<Event, List<Action>> script;
  public volatile Standing standing = new Standing(true, 1, 0);

  public Scripted(Function<Event, List<Action>> script) {
    this.script = script;
  }

  @Override
  public List<Action> on(long now, Event event) {
    return script.apply(event);
  }

  @Override
  public Standing standing(long now) {
    return standing;
  }
}
