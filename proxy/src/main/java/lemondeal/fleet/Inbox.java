package lemondeal.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;

/**
 * Passes messages from the transport's threads to the I/O thread. Only the newest message of each sender is kept, so
 * that no queue builds up while the I/O thread is busy. The transport's threads take no decisions.
 */
final class Inbox {
  private final Executor ioExecutor;
  private final BiConsumer<String, byte[]> onMessage;
  private final Runnable onDrained;
  private final Map<String, byte[]> newestBySender = new ConcurrentHashMap<>();
  private final AtomicBoolean drainScheduled = new AtomicBoolean();

  /** {@code onDrained} runs after each batch of messages. */
  Inbox(Executor ioExecutor, BiConsumer<String, byte[]> onMessage, Runnable onDrained) {
    this.ioExecutor = ioExecutor;
    this.onMessage = onMessage;
    this.onDrained = onDrained;
  }

  void put(String sender, byte[] bytes) {
    newestBySender.put(sender, bytes);
    if (drainScheduled.compareAndSet(false, true)) {
      ioExecutor.execute(this::drain);
    }
  }

  private void drain() {
    drainScheduled.set(false);
    for (String sender : newestBySender.keySet()) {
      byte[] bytes = newestBySender.remove(sender);
      if (bytes != null) {
        onMessage.accept(sender, bytes);
      }
    }
    onDrained.run();
  }
}
