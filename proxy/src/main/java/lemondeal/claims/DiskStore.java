package lemondeal.claims;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import lemondeal.claims.wire.LogRecord;
import lemondeal.log.EventLog;

/**
 * States of this process that a restart does not lose: each write is on disk before it is told. All is done by one thread
 * of its own, since a disk may take its time; what waits for it is written in one go. Answers come on that thread.
 *
 * <p>Guards: a full or failing disk is told as a fault and nothing of that write counts; a second process on the same
 * folder, as during an upgrade, is told so until the first one has left. An embedded database was weighed and not taken:
 * a few hundred thousand states of a few bytes need a log and no more, and its files should be readable for an operator.
 */
public final class DiskStore implements CasStore {
  private static final int QUEUE_CAPACITY = 4096;
  /** A disk that hangs must not hold up the end of the process. */
  private static final long CLOSE_TIMEOUT_MILLIS = 1000;
  private static final int MAX_BATCH = 512;
  /** A log is worth a new snapshot when it is this many times as long as what it says, and not short. */
  private static final int COMPACTION_RATIO = 4;
  private static final int MIN_COMPACTION_RECORDS = 4096;

  private record Job(String session, long expectedVersion, ClaimState newState, Consumer<Result> callback) {
    boolean isWrite() {
      return newState != null;
    }
  }

  private static final Job STOP = new Job(null, 0, null, null);

  private final Path folder;
  private final int maxSessions;
  private final LongSupplier unixMillis;
  private final EventLog log;
  private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
  private final Thread thread = new Thread(this::processJobs, "claims");
  /** The thread's own from here on. */
  private MemoryStore states;
  private WriteAheadLog writeAheadLog;
  private String unavailableReason = "";

  private DiskStore(Path folder, int maxSessions, LongSupplier unixMillis, EventLog log) {
    this.folder = folder;
    this.maxSessions = maxSessions;
    this.unixMillis = unixMillis;
    this.log = log;
  }

  /**
   * Opens the folder, making it where it is missing, and reads what it holds. Throws where that can't be read; that
   * another process holds it is no failure, but told to whoever asks.
   */
  public static DiskStore open(Path folder, int maxSessions, LongSupplier unixMillis, EventLog log) throws IOException {
    DiskStore store = new DiskStore(folder, maxSessions, unixMillis, log);
    store.openFolder();
    store.thread.setDaemon(true);
    store.thread.start();
    return store;
  }

  @Override
  public void read(String session, Consumer<Result> callback) {
    enqueue(new Job(session, 0, null, callback));
  }

  @Override
  public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
    enqueue(new Job(session, expectedVersion, state, callback));
  }

  private void enqueue(Job job) {
    if (!jobs.offer(job)) {
      job.callback().accept(new Result(false, null, "too much waits for the disk"));
    }
  }

  // ---- The thread's own -----------------------------------------------------------------------

  /** Goes on behind the order to stop until nothing is left: an answer may have brought the next job with it. */
  private void processJobs() {
    boolean stopping = false;
    try {
      while (!stopping || !jobs.isEmpty()) {
        List<Job> batch = new ArrayList<>();
        batch.add(jobs.take());
        jobs.drainTo(batch, MAX_BATCH - 1);
        stopping |= batch.remove(STOP);
        processBatch(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeFolder();
    }
  }

  private void processBatch(List<Job> batch) {
    try {
      if (writeAheadLog == null) {
        openFolder();
      }
    } catch (IOException e) {
      unavailableReason = "the folder cannot be read: " + e;
    }
    if (writeAheadLog == null) {
      batch.forEach(job -> job.callback().accept(new Result(false, null, unavailableReason)));
      return;
    }
    Map<String, VersionedState> changes = new LinkedHashMap<>();
    List<Result> results = new ArrayList<>();
    for (Job job : batch) {
      results.add(apply(job, changes));
    }
    String error = persist(changes);
    for (int i = 0; i < batch.size(); i++) {
      batch.get(i).callback().accept(error.isEmpty() ? results.get(i) : new Result(false, null, error));
    }
    compact();
  }

  /** What the job is told once all changes are on disk. */
  private Result apply(Job job, Map<String, VersionedState> changes) {
    VersionedState pending = changes.get(job.session());
    VersionedState current = pending != null ? pending : states.get(job.session());
    if (!job.isWrite()) {
      return new Result(true, current, "");
    }
    if (current.version() != job.expectedVersion()) {
      return new Result(false, current, "");
    }
    if (current.version() == 0 && states.unexpired().size() + changes.size() >= maxSessions) {
      return new Result(false, null, "all " + maxSessions + " claims are held");
    }
    VersionedState updated = new VersionedState(current.version() + 1, job.newState());
    changes.put(job.session(), updated);
    return new Result(true, updated, "");
  }

  /** Empty, or why nothing was written. */
  private String persist(Map<String, VersionedState> changes) {
    if (changes.isEmpty()) {
      return "";
    }
    try {
      writeAheadLog.append(encodeRecords(changes));
      changes.forEach(states::put);
      return "";
    } catch (IOException e) {
      log.warn("claims-not-written", "lemondeal: claims cannot be written: " + e, "folder", folder.toString());
      if (!writeAheadLog.isEndKnown()) {
        // The end of the log is not known any more: it is read anew, and cut where it is torn.
        closeFolder();
      }
      return "the disk: " + e.getMessage();
    }
  }

  private static List<byte[]> encodeRecords(Map<String, VersionedState> changes) {
    List<byte[]> records = new ArrayList<>(changes.size());
    changes.forEach((session, versionedState) -> records.add(LogRecord.newBuilder()
        .setSession(session)
        .setVersion(versionedState.version())
        .setState(StateCodec.encode(versionedState.state()))
        .build().toByteArray()));
    return records;
  }

  private void compact() {
    if (writeAheadLog == null || writeAheadLog.records() < MIN_COMPACTION_RECORDS || writeAheadLog.records() < (long) COMPACTION_RATIO * states.unexpired().size()) {
      return;
    }
    try {
      writeAheadLog.writeSnapshot(encodeRecords(states.unexpired()));
    } catch (IOException e) {
      log.warn("claims-not-compacted", "lemondeal: claims cannot be compacted: " + e, "folder", folder.toString());
    }
  }

  /** Takes the folder, unless another process holds it. */
  private void openFolder() throws IOException {
    MemoryStore loadedStates = new MemoryStore(maxSessions, unixMillis);
    WriteAheadLog opened = WriteAheadLog.open(folder, record -> {
      try {
        LogRecord logRecord = LogRecord.parseFrom(record);
        loadedStates.put(logRecord.getSession(), new VersionedState(logRecord.getVersion(), StateCodec.decode(logRecord.getState())));
      } catch (InvalidProtocolBufferException e) {
        throw new IOException("a record with a true checksum cannot be read", e);
      }
    });
    if (opened == null) {
      unavailableReason = "another process holds the claims";
      return;
    }
    if (opened.truncatedBytes() > 0) {
      log.warn("claims-torn", "lemondeal: the last " + opened.truncatedBytes() + " bytes of the claims' log were torn and are cut off",
          "folder", folder.toString(), "bytes", opened.truncatedBytes());
    }
    states = loadedStates;
    writeAheadLog = opened;
  }

  private void closeFolder() {
    if (writeAheadLog != null) {
      writeAheadLog.close();
      writeAheadLog = null;
    }
  }

  @Override
  public void close() {
    try {
      jobs.put(STOP);
      thread.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
