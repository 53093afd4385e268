package lemondeal.saved;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import lemondeal.log.EventLog;

/**
 * A few bytes on disk that must outlive a crash. Written beside their place, forced to the disk and renamed over it, on a
 * thread of its own; a disk that is full or gone is told in the log, and serving goes on. Whether what is read is whole is
 * for its codec to say.
 */
public final class StateFile implements AutoCloseable {
  private static final long MAX_BYTES = 1 << 20;
  private static final long CLOSE_TIMEOUT_SECONDS = 2;

  private final Path file;
  private final EventLog log;
  private final ExecutorService writer = Executors.newSingleThreadExecutor(task -> {
    Thread thread = new Thread(null, task, "state-file", 256 * 1024);
    thread.setDaemon(true);
    return thread;
  });

  public StateFile(Path file, EventLog log) {
    this.file = file;
    this.log = log;
  }

  /** What is kept; empty where nothing is. What can't be read is told in the log, and no bytes come of it. */
  public Optional<byte[]> read() {
    try {
      if (Files.size(file) > MAX_BYTES) {
        log.warn("state-file", "lemondeal: " + file + " is longer than " + MAX_BYTES + " bytes and is passed over");
        return Optional.of(new byte[0]);
      }
      return Optional.of(Files.readAllBytes(file));
    } catch (NoSuchFileException e) {
      return Optional.empty();
    } catch (IOException e) {
      log.warn("state-file", "lemondeal: " + file + " can't be read: " + e);
      return Optional.of(new byte[0]);
    }
  }

  /** Keeps this soon, in place of what was kept before; {@code done} is run on the writer's thread, written or not. */
  public void write(byte[] bytes, Runnable onDone) {
    writer.execute(() -> {
      try {
        writeNow(bytes);
      } catch (IOException e) {
        log.warn("state-file", "lemondeal: " + file + " can't be written: " + e);
      }
      onDone.run();
    });
  }

  private void writeNow(byte[] bytes) throws IOException {
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
    try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
        StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer remaining = ByteBuffer.wrap(bytes);
      while (remaining.hasRemaining()) {
        channel.write(remaining);
      }
      channel.force(true);
    }
    Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Waits a little for what is still to be written. */
  @Override
  public void close() {
    writer.shutdown();
    try {
      writer.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
