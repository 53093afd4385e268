package lemondeal.proxy;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListValidity;
import lemondeal.Balancer.Start;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Passes events to the decision module and carries out its actions. Carrying out an action may cause the next event at
 * once; that event waits until all actions of the current one are done, so that the module never sees events out of
 * order. Before each event the module is told until when it may use its lists, if that has changed.
 */
final class EventDispatcher {
  /** Null after {@link #stop}. */
  private Balancer module;
  private final LongSupplier clock;
  private final Supplier<List<ListValidity>> validityChanges;
  private final Consumer<Action> actionHandler;
  private final ArrayDeque<Event> pendingEvents = new ArrayDeque<>();
  private boolean dispatching;

  /** {@code validityChanges} returns what has changed since its last call. */
  EventDispatcher(Balancer module, LongSupplier clock, Supplier<List<ListValidity>> validityChanges,
      Consumer<Action> actionHandler) {
    this.module = module;
    this.clock = clock;
    this.validityChanges = validityChanges;
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
        if (!(next instanceof Start)) {
          validityChanges.get().forEach(this::decide);
        }
        decide(next);
      }
    } finally {
      dispatching = false;
    }
  }

  private void decide(Event event) {
    if (module != null) {
      for (Action action : module.on(clock.getAsLong(), event)) {
        actionHandler.accept(action);
      }
    }
  }
}
