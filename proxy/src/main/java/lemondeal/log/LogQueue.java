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
 * The log between those who tell and the standard error stream, which a thread of its own writes to. Guards all service
 * against a log whose reader has stopped: a write to it never returns, and the I/O thread tells, too. What is told waits
 * here up to a bound; beyond it is dropped, and counted in the log once that is read again.
 */
public final class LogQueue extends OutputStream {
  /** Some thousand lines: enough for a collector that restarts. */
  private static final int MAX_QUEUED_BYTES = 256 * 1024;
  /** How long the end of a program that has not been told to stop waits for the log. */
  private static final long EXIT_DRAIN_MILLIS = 500;

  /** The one that stands behind {@link System#err}, or null. */
  private static volatile LogQueue installed;

  private final OutputStream log;
  private final int maxBytes;
  private final ArrayDeque<byte[]> queuedWrites = new ArrayDeque<>();
  private int queuedBytes;
  private long droppedWrites;
  /** Whether what was taken from the queue last is still being written. */
  private boolean writing;

  /** For this log, with so many bytes waiting at most. */
  LogQueue(OutputStream log, int maxBytes) {
    this.log = log;
    this.maxBytes = maxBytes;
  }

  /** From now on all that is printed to {@link System#err} goes through a queue. */
  public static void install() {
    LogQueue queue = new LogQueue(new FileOutputStream(FileDescriptor.err), MAX_QUEUED_BYTES);
    queue.start();
    installed = queue;
    System.setErr(new PrintStream(queue));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> queue.drain(EXIT_DRAIN_MILLIS), "log-drain"));
  }

  /** Waits until all that was told is written, or so long; nothing where no queue is installed. */
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

  /** Takes the bytes or drops them; never waits. */
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

  /** Waits until all that was told is written, or so long. */
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
          // As of a full disk: the line is lost, and the next one may not be.
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
      byte[] notice = ("lemondeal: " + droppedWrites + " parts of the log were dropped while nobody read it\n")
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
