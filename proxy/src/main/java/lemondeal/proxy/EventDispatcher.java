package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Passes events to the decision module and carries out its actions. Carrying out an action may cause the next event at
 * once; that event waits until all actions of the current one are done, so that the module never sees events out of
 * order.
 */
final class EventDispatcher {
  /** Null after {@link #stop}. */
  private Balancer module;
  private final LongSupplier clock;
  private final Consumer<Action> actionHandler;
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
  private boolean dispatching;

  EventDispatcher(Balancer module, LongSupplier clock, Consumer<Action> actionHandler) {
    this.module = module;
    this.clock = clock;
    this.actionHandler = actionHandler;
  }

  /** Ends all decisions and releases the module with what it has learnt. */
  void stop() {
    module = null;
    pendingEvents.clear();
  }

  void dispatch(Event event) {
    pendingEvents.add(event);
    if (dispatching) {
      return;
    }
    dispatching = true;
    try {
      for (Event next = pendingEvents.poll(); next != null && module != null; next = pendingEvents.poll()) {
        for (Action action : module.on(clock.getAsLong(), next)) {
          actionHandler.accept(action);
        }
      }
    } finally {
      dispatching = false;
    }
  }
}
