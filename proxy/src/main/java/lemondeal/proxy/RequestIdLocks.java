package lemondeal.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;
import lemondeal.config.Addresses;
import lemondeal.log.EventLog;

/**
 * Locks on the ids of requests, shared by all processes that accept clients from one listening socket. During an
 * upgrade two processes serve clients at the same time.
 *
 * <p>A lock is a POSIX record lock (fcntl(2), F_SETLK) on one byte of a file in the temporary folder. Nothing is
 * written, so the file stays empty. The kernel grants each lock to one process, and releases the locks of a process
 * that ends, however it ends. A process that hangs keeps its locks as it keeps its connections. No call waits for
 * another process.
 *
 * <p>The file is never deleted: a process that has the deleted file open and one that creates it again would not see
 * each other's locks. For use on the I/O thread, except {@link #close}.
 */
final class RequestIdLocks implements AutoCloseable {
  /** What a locked byte says. Each kind has a range of offsets of its own. */
  private enum Kind {
    /** The holder has an open request with the id. */
    OPEN,
    /** The holder's request with the id has ended, and its client's connection still closes. */
    ENDING,
    /** As {@link #ENDING}, for the id together with the client's key. */
    ENDING_OF_CLIENT
  }

  private static final String FILE_PREFIX = "lemondeal-request-ids-";
  private static final int HEX = 16;
  /** Offsets are positive 64-bit numbers: two bits for the kind, the others from the id. */
  private static final int OFFSET_BITS = 60;
  private static final long OFFSET_MASK = (1L << OFFSET_BITS) - 1;
  /** The 64-bit FNV-1a hash function. */
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final FileChannel file;
  private final EventLog log;
  private boolean failureLogged;

  private RequestIdLocks(FileChannel file, EventLog log) {
    this.file = file;
    this.log = log;
  }

  /** A locked byte; {@code fileLock} is null if the system failed to lock it, which must not keep a client waiting. */
  private record ByteLock(FileLock fileLock) {}

  /** The lock of one request on its id. */
  final class IdLock {
    private final String id;
    private final String key;
    private ByteLock open;
    private ByteLock ending;
    private ByteLock endingOfClient;

    private IdLock(String id, String key, ByteLock open) {
      this.id = id;
      this.key = key;
      this.open = open;
    }

    /**
     * Lets the same client lock the id again, here or elsewhere. If another request of the same client with this id
     * is still ending, that one's locks stand for both.
     */
    void admitSameClient() {
      ending = tryLockByte(offset(Kind.ENDING, id));
      endingOfClient = tryLockByte(offset(id, key));
      unlock(open);
      open = null;
    }

    /** Frees the id; a further call does nothing. */
    void release() {
      unlock(open);
      unlock(ending);
      unlock(endingOfClient);
      open = null;
      ending = null;
      endingOfClient = null;
    }
  }

  /**
   * Opens the file of the processes that share this listening socket.
   *
   * @param folder the temporary folder that these processes share, possibly with other programs
   * @param listen the address of the listening socket
   * @throws IOException if the file can't be created or opened for writing
   */
  static RequestIdLocks open(Path folder, InetSocketAddress listen, EventLog log) throws IOException {
    Path path = folder.resolve(FILE_PREFIX + Addresses.format(listen));
    FileChannel file = FileChannel.open(path,
        Set.of(StandardOpenOption.CREATE, StandardOpenOption.WRITE, LinkOption.NOFOLLOW_LINKS),
        PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------")));
    return new RequestIdLocks(file, log);
  }

  /**
   * Locks the id of a new request. Returns null if another process has an open request with it, or has one that is
   * ending and is not of the same client.
   *
   * @param id 16 hexadecimal digits
   * @param key the key in the same first line
   */
  IdLock tryLock(String id, String key) {
    ByteLock open = tryLockByte(offset(Kind.OPEN, id));
    if (open == null) {
      return null;
    }
    // No other process can lock the id meanwhile: it would have to lock this byte first.
    if (isHeldElsewhere(offset(Kind.ENDING, id)) && !isHeldElsewhere(offset(id, key))) {
      unlock(open);
      return null;
    }
    return new IdLock(id, key, open);
  }

  /** Closes the file, which releases all locks. May be called on any thread. */
  @Override
  public void close() throws IOException {
    file.close();
  }

  private static long offset(Kind kind, String id) {
    return offset(kind, Long.parseUnsignedLong(id, HEX));
  }

  /** The offset for an ending request of one client. */
  private static long offset(String id, String key) {
    long hash = FNV_OFFSET_BASIS;
    String text = id + " " + key;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return offset(Kind.ENDING_OF_CLIENT, hash);
  }

  private static long offset(Kind kind, long value) {
    return (long) kind.ordinal() << OFFSET_BITS | value & OFFSET_MASK;
  }

  private boolean isHeldElsewhere(long offset) {
    ByteLock lock = tryLockByte(offset);
    unlock(lock);
    return lock == null;
  }

  /** Returns null if the byte is locked already, by another process or by another request of this one. */
  private ByteLock tryLockByte(long offset) {
    try {
      FileLock lock = file.tryLock(offset, 1, false);
      return lock == null ? null : new ByteLock(lock);
    } catch (OverlappingFileLockException e) {
      return null;
    } catch (IOException e) {
      logFailure(e);
      return new ByteLock(null);
    }
  }

  /** Does nothing for null. */
  private void unlock(ByteLock lock) {
    if (lock == null || lock.fileLock == null) {
      return;
    }
    try {
      lock.fileLock.release();
    } catch (IOException e) {
      logFailure(e);
    }
  }

  /** Logs the first failure only: further ones would come with every request. */
  private void logFailure(IOException failure) {
    if (!failureLogged) {
      failureLogged = true;
      log.warn("request-id-lock-failed", "lemondeal: the id of a request could not be locked or unlocked: " + failure);
    }
  }
}
