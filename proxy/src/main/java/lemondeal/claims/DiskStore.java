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
 * A store on the local disk that survives a restart: each write is synced before its callback runs. One dedicated
 * thread does all the work, as a disk may be slow; jobs that queue up meanwhile are written with one sync. Callbacks
 * run on that thread.
 *
 * <p>If the disk is full or fails, the write is reported as failed and has no effect. While another process uses the
 * same folder, as during an upgrade, every call fails with that reason. An embedded database was considered and
 * rejected: a few hundred thousand states of a few bytes need only a log, and its files should be readable for an
 * operator.
 */
public final class DiskStore implements CasStore {
  private static final int QUEUE_CAPACITY = 4096;
  /** A disk that hangs must not delay the end of the process for longer. */
  private static final long CLOSE_TIMEOUT_MILLIS = 1000;
  private static final int MAX_BATCH = 512;
  /** The log is compacted at this many records per unexpired state, but not below {@link #MIN_COMPACTION_RECORDS}. */
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
  // The fields below are confined to the worker thread once it has started.
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
   * Opens the folder, creating it if it is missing, and loads its states. Throws if they can't be read. A folder that
   * another process uses is opened later: until then, calls fail with that reason.
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
      job.callback().accept(new Result(false, null, "the disk queue is full"));
    }
  }

  // ---- Worker thread --------------------------------------------------------------------------

  /** Continues after the stop job until the queue is empty, as a callback may have enqueued another job. */
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
      unavailableReason = "cannot read the claims folder: " + e;
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

  /** Adds a write's new state to the changes. Returns the job's result, which is valid once all changes are on disk. */
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
      return new Result(false, null, "the limit of " + maxSessions + " sessions is reached");
    }
    VersionedState updated = new VersionedState(current.version() + 1, job.newState());
    changes.put(job.session(), updated);
    return new Result(true, updated, "");
  }

  /** Returns why nothing was written; empty if the changes are on disk. */
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
        // The end of the log is unknown now: the next batch reads the log again and truncates an incomplete record.
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
    if (writeAheadLog == null || writeAheadLog.recordCount() < MIN_COMPACTION_RECORDS
        || writeAheadLog.recordCount() < (long) COMPACTION_RATIO * states.unexpired().size()) {
      return;
    }
    try {
      writeAheadLog.writeSnapshot(encodeRecords(states.unexpired()));
    } catch (IOException e) {
      log.warn("claims-not-compacted", "lemondeal: claims cannot be compacted: " + e, "folder", folder.toString());
    }
  }

  /** Locks and loads the folder, unless another process has locked it. */
  private void openFolder() throws IOException {
    MemoryStore loadedStates = new MemoryStore(maxSessions, unixMillis);
    WriteAheadLog opened = WriteAheadLog.open(folder, record -> {
      try {
        LogRecord logRecord = LogRecord.parseFrom(record);
        loadedStates.put(logRecord.getSession(),
            new VersionedState(logRecord.getVersion(), StateCodec.decode(logRecord.getState())));
      } catch (InvalidProtocolBufferException e) {
        throw new IOException("cannot decode a record whose checksum is correct", e);
      }
    });
    if (opened == null) {
      unavailableReason = "another process has locked the claims folder";
      return;
    }
    if (opened.truncatedBytes() > 0) {
      log.warn("claims-torn",
          "lemondeal: the last " + opened.truncatedBytes() + " bytes of the claims' log were torn and are cut off",
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
