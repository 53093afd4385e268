package lemondeal.claims;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

/**
 * A log with snapshots in a folder, locked by one process at a time. Does not interpret the records.
 *
 * <p>{@code log-N} contains the records after {@code snapshot-N}; a record is its length, its CRC-32C and its bytes. A
 * snapshot ends with a record of length 0 and is renamed into place when it is complete, so an incomplete one means
 * that the disk lost data. Loading reads the highest snapshot, then its log up to the first incomplete record, and
 * truncates the log there. The truncated records were never acknowledged, since acknowledgements wait for the sync.
 */
final class WriteAheadLog implements AutoCloseable {
  private static final Pattern FILE_NAME = Pattern.compile("(snapshot|log)-([0-9]{1,18})");
  private static final int HEADER_BYTES = 8;
  private static final int MAX_RECORD_BYTES = 1 << 16;

  /** Receives the records in their order. */
  interface RecordHandler {
    void handle(byte[] record) throws IOException;
  }

  private final Path folder;
  private final FileChannel lockChannel;
  private FileChannel logChannel;
  private long generation;
  private long logLength;
  private long recordCount;
  private long truncatedBytes;
  private boolean endKnown = true;

  private WriteAheadLog(Path folder, FileChannel lockChannel) {
    this.folder = folder;
    this.lockChannel = lockChannel;
  }

  /** Locks and loads the folder; returns null if another process has locked it. */
  static WriteAheadLog open(Path folder, RecordHandler handler) throws IOException {
    Files.createDirectories(folder);
    FileChannel lockChannel =
        FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    WriteAheadLog opened = new WriteAheadLog(folder, lockChannel);
    boolean loaded = false;
    try {
      if (opened.lock()) {
        opened.load(handler);
        loaded = true;
      }
    } finally {
      if (!loaded) {
        opened.close();
      }
    }
    return loaded ? opened : null;
  }

  private boolean lock() throws IOException {
    try {
      FileLock lock = lockChannel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      // Locked by this process.
      return false;
    }
  }

  /** Bytes truncated from the log's end when it was loaded. */
  long truncatedBytes() {
    return truncatedBytes;
  }

  /** Records in the log, without the snapshot's. */
  long recordCount() {
    return recordCount;
  }

  /** Whether the end of the valid records is known; if not, the folder must be opened again. */
  boolean isEndKnown() {
    return endKnown;
  }

  /** Appends the records and returns once they are synced. A write that fails leaves nothing behind. */
  void append(List<byte[]> newRecords) throws IOException {
    ByteBuffer bytes = frame(newRecords);
    try {
      writeAll(logChannel, bytes, logLength);
      logChannel.force(false);
      logLength += bytes.limit();
      recordCount += newRecords.size();
    } catch (IOException e) {
      undoFailedWrite();
      throw e;
    }
  }

  /** Truncates the log: otherwise a later, shorter write would leave the rest of the failed one after it. */
  private void undoFailedWrite() {
    try {
      logChannel.truncate(logLength);
      logChannel.force(false);
    } catch (IOException e) {
      endKnown = false;
    }
  }

  /** Writes a snapshot of these records, starts an empty log after it, and deletes the older files. */
  void writeSnapshot(List<byte[]> snapshotRecords) throws IOException {
    long nextGeneration = generation + 1;
    Path newSnapshot = folder.resolve("snapshot.new");
    try (FileChannel file = FileChannel.open(newSnapshot, StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE)) {
      List<byte[]> withTerminator = new ArrayList<>(snapshotRecords);
      withTerminator.add(new byte[0]);
      writeAll(file, frame(withTerminator), 0);
      file.force(true);
    }
    FileChannel nextLog = FileChannel.open(path("log", nextGeneration), StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
    nextLog.force(true);
    Files.move(newSnapshot, path("snapshot", nextGeneration), StandardCopyOption.ATOMIC_MOVE);
    syncFolder();
    logChannel.close();
    logChannel = nextLog;
    generation = nextGeneration;
    logLength = 0;
    recordCount = 0;
    deleteOlderFiles();
  }

  private static ByteBuffer frame(List<byte[]> records) {
    int size = 0;
    for (byte[] record : records) {
      size += HEADER_BYTES + record.length;
    }
    ByteBuffer bytes = ByteBuffer.allocate(size);
    for (byte[] record : records) {
      bytes.putInt(record.length).putInt(checksum(record)).put(record);
    }
    return bytes.flip();
  }

  private static int checksum(byte[] record) {
    CRC32C crc = new CRC32C();
    // The checksum covers the length, so that a run of zero bytes is not a valid record.
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).flip());
    crc.update(record);
    return (int) crc.getValue();
  }

  private static void writeAll(FileChannel file, ByteBuffer bytes, long position) throws IOException {
    while (bytes.hasRemaining()) {
      file.write(bytes, position + bytes.position());
    }
  }

  private void load(RecordHandler handler) throws IOException {
    generation = highestSnapshot();
    if (generation > 0) {
      byte[] bytes = Files.readAllBytes(path("snapshot", generation));
      if (readRecords(bytes, handler) != bytes.length) {
        throw new IOException(
            path("snapshot", generation) + " is damaged; move the folder away to start with an empty store");
      }
    }
    logChannel = FileChannel.open(path("log", generation), StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    byte[] bytes = Files.readAllBytes(path("log", generation));
    logLength = readRecords(bytes, record -> {
      handler.handle(record);
      recordCount++;
    });
    truncatedBytes = bytes.length - logLength;
    if (truncatedBytes > 0) {
      logChannel.truncate(logLength);
      logChannel.force(true);
    }
    deleteOlderFiles();
    syncFolder();
  }

  /** Reads records up to the first invalid one and returns its position. An empty record ends a snapshot. */
  private static int readRecords(byte[] bytes, RecordHandler handler) throws IOException {
    ByteBuffer input = ByteBuffer.wrap(bytes);
    while (input.remaining() >= HEADER_BYTES) {
      int recordStart = input.position();
      int length = input.getInt();
      int checksum = input.getInt();
      if (length < 0 || length > MAX_RECORD_BYTES || length > input.remaining()) {
        return recordStart;
      }
      byte[] record = new byte[length];
      input.get(record);
      if (checksum(record) != checksum) {
        return recordStart;
      }
      if (length == 0) {
        return input.position();
      }
      handler.handle(record);
    }
    return input.position();
  }

  private long highestSnapshot() throws IOException {
    return listFiles().filter(name -> name.group(1).equals("snapshot")).mapToLong(name -> Long.parseLong(name.group(2)))
        .max().orElse(0);
  }

  private void deleteOlderFiles() throws IOException {
    for (Matcher name : listFiles().toList()) {
      if (Long.parseLong(name.group(2)) < generation) {
        Files.deleteIfExists(folder.resolve(name.group()));
      }
    }
  }

  private Stream<Matcher> listFiles() throws IOException {
    try (Stream<Path> paths = Files.list(folder)) {
      return paths.map(path -> FILE_NAME.matcher(path.getFileName().toString())).filter(Matcher::matches).toList()
          .stream();
    }
  }

  private Path path(String kind, long number) {
    return folder.resolve(kind + "-" + number);
  }

  /** A rename is durable only once its folder is synced. */
  private void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** Unlocks the folder for other processes. */
  @Override
  public void close() {
    for (FileChannel channel : new FileChannel[] {logChannel, lockChannel}) {
      try {
        if (channel != null) {
          channel.close();
        }
      } catch (IOException e) {
        // All acknowledged records are synced already.
        endKnown = false;
      }
    }
  }
}
