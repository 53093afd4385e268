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
 * A log with snapshots in a folder, held by one process at a time. Knows nothing of what records say.
 *
 * <p>{@code log-N} holds what came after {@code snapshot-N}; a record is its length, its CRC-32C and its bytes. A snapshot
 * ends in a record of length 0 and is renamed into place when it is whole, so that one that is there is whole, or the disk
 * lost it. Reading: the highest snapshot, then its log up to the first record that is torn; what follows is cut off. Such
 * a tail was never answered, since answers wait for the disk.
 */
final class LogFolder implements AutoCloseable {
  private static final Pattern NAME = Pattern.compile("(snapshot|log)-([0-9]{1,18})");
  private static final int HEADER = 8;
  private static final int LONGEST = 1 << 16;

  /** Takes the records in their order. */
  interface Reader {
    void read(byte[] record) throws IOException;
  }

  private final Path folder;
  private final FileChannel lockFile;
  private FileChannel log;
  private long generation;
  private long end;
  private long records;
  private long torn;
  private boolean sound = true;

  private LogFolder(Path folder, FileChannel lockFile) {
    this.folder = folder;
    this.lockFile = lockFile;
  }

  /** Opens the folder and reads it; null if another process holds it. */
  static LogFolder open(Path folder, Reader reader) throws IOException {
    Files.createDirectories(folder);
    FileChannel lockFile = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    LogFolder opened = new LogFolder(folder, lockFile);
    boolean read = false;
    try {
      if (opened.lock()) {
        opened.read(reader);
        read = true;
      }
    } finally {
      if (!read) {
        opened.close();
      }
    }
    return read ? opened : null;
  }

  private boolean lock() throws IOException {
    try {
      FileLock lock = lockFile.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      // Held in this very process.
      return false;
    }
  }

  /** Bytes that were cut off the log when it was read. */
  long tornBytes() {
    return torn;
  }

  /** Records in the log, without the snapshot's. */
  long records() {
    return records;
  }

  /** Whether the log's end is known; if not, the folder has to be opened anew. */
  boolean isSound() {
    return sound;
  }

  /** Writes the records behind all others; returns when the disk has them. Of a failed write nothing stays. */
  void append(List<byte[]> more) throws IOException {
    ByteBuffer bytes = framed(more);
    try {
      writeAll(log, bytes, end);
      log.force(false);
      end += bytes.limit();
      records += more.size();
    } catch (IOException e) {
      cutBack();
      throw e;
    }
  }

  /** Guards against a later, shorter write leaving the rest of a failed one behind it. */
  private void cutBack() {
    try {
      log.truncate(end);
      log.force(false);
    } catch (IOException e) {
      sound = false;
    }
  }

  /** Begins a new log behind a snapshot of these records, and removes what is older. */
  void begin(List<byte[]> all) throws IOException {
    long next = generation + 1;
    Path fresh = folder.resolve("snapshot.new");
    try (FileChannel file = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE)) {
      List<byte[]> withEnd = new ArrayList<>(all);
      withEnd.add(new byte[0]);
      writeAll(file, framed(withEnd), 0);
      file.force(true);
    }
    FileChannel nextLog = FileChannel.open(path("log", next), StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING, StandardOpenOption.WRITE);
    nextLog.force(true);
    Files.move(fresh, path("snapshot", next), StandardCopyOption.ATOMIC_MOVE);
    forceFolder();
    log.close();
    log = nextLog;
    generation = next;
    end = 0;
    records = 0;
    removeOlder();
  }

  private static ByteBuffer framed(List<byte[]> records) {
    int size = 0;
    for (byte[] record : records) {
      size += HEADER + record.length;
    }
    ByteBuffer bytes = ByteBuffer.allocate(size);
    for (byte[] record : records) {
      bytes.putInt(record.length).putInt(checksum(record)).put(record);
    }
    return bytes.flip();
  }

  private static int checksum(byte[] record) {
    CRC32C crc = new CRC32C();
    // The length is in it, so that a run of zero bytes is no record.
    crc.update(ByteBuffer.allocate(Integer.BYTES).putInt(record.length).flip());
    crc.update(record);
    return (int) crc.getValue();
  }

  private static void writeAll(FileChannel file, ByteBuffer bytes, long from) throws IOException {
    while (bytes.hasRemaining()) {
      file.write(bytes, from + bytes.position());
    }
  }

  private void read(Reader reader) throws IOException {
    generation = highestSnapshot();
    if (generation > 0) {
      byte[] bytes = Files.readAllBytes(path("snapshot", generation));
      if (records(bytes, reader) != bytes.length) {
        throw new IOException(path("snapshot", generation) + " is damaged; move the folder away to begin without it");
      }
    }
    log = FileChannel.open(path("log", generation), StandardOpenOption.CREATE, StandardOpenOption.READ,
        StandardOpenOption.WRITE);
    byte[] bytes = Files.readAllBytes(path("log", generation));
    end = records(bytes, record -> {
      reader.read(record);
      records++;
    });
    torn = bytes.length - end;
    if (torn > 0) {
      log.truncate(end);
      log.force(true);
    }
    removeOlder();
    forceFolder();
  }

  /** Reads records up to the first that is not whole; returns where that begins. An empty one is the end. */
  private static int records(byte[] bytes, Reader reader) throws IOException {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    while (in.remaining() >= HEADER) {
      int from = in.position();
      int length = in.getInt();
      int checksum = in.getInt();
      if (length < 0 || length > LONGEST || length > in.remaining()) {
        return from;
      }
      byte[] record = new byte[length];
      in.get(record);
      if (checksum(record) != checksum) {
        return from;
      }
      if (length == 0) {
        return in.position();
      }
      reader.read(record);
    }
    return in.position();
  }

  private long highestSnapshot() throws IOException {
    return files().filter(name -> name.group(1).equals("snapshot")).mapToLong(name -> Long.parseLong(name.group(2)))
        .max().orElse(0);
  }

  private void removeOlder() throws IOException {
    for (Matcher name : files().toList()) {
      if (Long.parseLong(name.group(2)) < generation) {
        Files.deleteIfExists(folder.resolve(name.group()));
      }
    }
  }

  private Stream<Matcher> files() throws IOException {
    try (Stream<Path> paths = Files.list(folder)) {
      return paths.map(path -> NAME.matcher(path.getFileName().toString())).filter(Matcher::matches).toList().stream();
    }
  }

  private Path path(String kind, long number) {
    return folder.resolve(kind + "-" + number);
  }

  /** A rename is on disk only when its folder is. */
  private void forceFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  /** Gives the folder up for other processes. */
  @Override
  public void close() {
    for (FileChannel channel : new FileChannel[] {log, lockFile}) {
      try {
        if (channel != null) {
          channel.close();
        }
      } catch (IOException e) {
        // All that was answered is on disk already.
        sound = false;
      }
    }
  }
}
