package lemondeal.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;

/**
 * Hands letters from the link's threads to the I/O thread: the newest of each sender, so that a busy I/O thread finds
 * no queue that has grown. Nothing is decided on the link's threads.
 */
final class Inbox {
  private final Executor io;
  private final BiConsumer<String, byte[]> letter;
  private final Runnable done;
  private final Map<String, byte[]> newest = new ConcurrentHashMap<>();
  private final AtomicBoolean waiting = new AtomicBoolean();

  /** {@code done} runs after each handful of letters. */
  Inbox(Executor io, BiConsumer<String, byte[]> letter, Runnable done) {
    this.io = io;
    this.letter = letter;
    this.done = done;
  }

  void put(String sender, byte[] bytes) {
    newest.put(sender, bytes);
    if (waiting.compareAndSet(false, true)) {
      io.execute(this::empty);
    }
  }

  private void empty() {
    waiting.set(false);
    for (String sender : newest.keySet()) {
      byte[] bytes = newest.remove(sender);
      if (bytes != null) {
        letter.accept(sender, bytes);
      }
    }
    done.run();
  }
}
