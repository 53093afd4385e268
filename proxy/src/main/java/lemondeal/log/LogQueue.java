package lemondeal.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/**
 * A bounded queue in front of the standard error stream, which a separate thread writes to. A write to a log whose
 * reader has stopped never returns, and the I/O thread writes log lines too, so it must not write to the stream
 * directly. Writes beyond the bound are dropped; their number is logged once the log is read again.
 */
public final class LogQueue extends OutputStream {
  /** A few thousand lines: enough to cover the restart of a log collector. */
  private static final int MAX_QUEUED_BYTES = 256 * 1024;
  /** How long the JVM waits for the log at an exit without a regular stop. */
  private static final long EXIT_DRAIN_MILLIS = 500;

  /** The queue behind {@link System#err}, or null. */
  private static volatile LogQueue installed;

  private final OutputStream log;
  private final int maxBytes;
  private final ArrayDeque<byte[]> queuedWrites = new ArrayDeque<>();
  private int queuedBytes;
  private long droppedWrites;
  /** Whether the bytes taken from the queue last are still being written. */
  private boolean writing;

  /** @param maxBytes maximum number of queued bytes */
  LogQueue(OutputStream log, int maxBytes) {
    this.log = log;
    this.maxBytes = maxBytes;
  }

  /** Redirects {@link System#err} through a queue. */
  public static void install() {
    LogQueue queue = new LogQueue(new FileOutputStream(FileDescriptor.err), MAX_QUEUED_BYTES);
    queue.start();
    installed = queue;
    System.setErr(new PrintStream(queue));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> queue.drain(EXIT_DRAIN_MILLIS), "log-drain"));
  }

  /** Waits until all queued bytes are written, at most this long. Does nothing if no queue is installed. */
  public static void drainInstalled(long millis) {
    LogQueue queue = installed;
    if (queue != null) {
      queue.drain(millis);
    }
  }

  void start() {
    Thread writer = new Thread(this::writeAll, "log");
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void write(int b) {
    write(new byte[] {(byte) b}, 0, 1);
  }

  /** Queues or drops the bytes; never blocks. */
  @Override
  public synchronized void write(byte[] bytes, int offset, int length) {
    if (length == 0) {
      return;
    }
    if (queuedBytes + length > maxBytes) {
      droppedWrites++;
      return;
    }
    queuedWrites.add(Arrays.copyOfRange(bytes, offset, offset + length));
    queuedBytes += length;
    notifyAll();
  }

  /** Waits until all queued bytes are written, at most this long. */
  synchronized void drain(long millis) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    try {
      while (writing || !queuedWrites.isEmpty()) {
        long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        if (left <= 0) {
          return;
        }
        wait(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeAll() {
    try {
      while (true) {
        byte[] next = takeNext();
        try {
          log.write(next);
        } catch (IOException e) {
          // Such as a full disk: this line is lost, but the next one may succeed.
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized byte[] takeNext() throws InterruptedException {
    writing = false;
    notifyAll();
    if (queuedWrites.isEmpty() && droppedWrites > 0) {
      byte[] notice = ("lemondeal: " + droppedWrites + " log writes were dropped because the log was not read\n")
          .getBytes(StandardCharsets.US_ASCII);
      droppedWrites = 0;
      writing = true;
      return notice;
    }
    while (queuedWrites.isEmpty()) {
      wait();
    }
    byte[] next = queuedWrites.poll();
    queuedBytes -= next.length;
    writing = true;
    return next;
  }
}
