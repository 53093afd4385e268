package lemondeal.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A log whose reader has stopped, or whose disk is full. */
@Timeout(20)
class LogQueueTest {
  private static final long TIMEOUT_MILLIS = 10_000;

  /** Blocks all writes until it is unblocked. */
  private static final class BlockedLog extends OutputStream {
    private final CountDownLatch writeStarted = new CountDownLatch(1);
    private final CountDownLatch unblocked = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int b) {
      throw new IllegalStateException("lines must be written as a whole");
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      writeStarted.countDown();
      try {
        assertTrue(unblocked.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      written.write(bytes, offset, length);
    }
  }

  private static void write(LogQueue queue, String line) {
    byte[] bytes = line.getBytes(StandardCharsets.US_ASCII);
    queue.write(bytes, 0, bytes.length);
  }

  @Test
  void writesAreQueuedInOrderAndDropsAreCounted() throws Exception {
    BlockedLog log = new BlockedLog();
    LogQueue queue = new LogQueue(log, 6);
    queue.start();
    write(queue, "a\n");
    assertTrue(log.writeStarted.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    write(queue, "b\n");
    write(queue, "cc\n");
    write(queue, "dd\n");
    write(queue, "e\n");
    write(queue, "\n");
    log.unblocked.countDown();
    queue.drain(TIMEOUT_MILLIS);
    assertEquals("a\nb\ncc\n\nlemondeal: 2 log writes were dropped because the log was not read\n",
        log.written.toString());
    write(queue, "f\n");
    queue.drain(TIMEOUT_MILLIS);
    assertTrue(log.written.toString().endsWith("read\nf\n"), "reported once");
  }

  /** The exit of the program must not hang on its log. */
  @Test
  void drainOfABlockedLogTimesOut() throws Exception {
    BlockedLog log = new BlockedLog();
    LogQueue queue = new LogQueue(log, 100);
    queue.start();
    write(queue, "a\n");
    queue.drain(50);
    assertEquals("", log.written.toString());
    log.unblocked.countDown();
    queue.drain(TIMEOUT_MILLIS);
    assertEquals("a\n", log.written.toString());
  }

  @Test
  void aFailedWriteLosesOnlyItsLine() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    LogQueue queue = new LogQueue(new OutputStream() {
      private boolean full = true;

      @Override
      public void write(int b) throws IOException {
        if (full) {
          full = false;
          throw new IOException("No space left on device");
        }
        written.write(b);
      }
    }, 100);
    queue.start();
    write(queue, "a\n");
    write(queue, "b\n");
    queue.drain(TIMEOUT_MILLIS);
    assertEquals("b\n", written.toString());
  }
}
