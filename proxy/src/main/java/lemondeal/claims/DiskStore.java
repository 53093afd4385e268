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
  private static final int QUEUE = 4096;
  /** A disk that hangs must not hold up the end of the process. */
  private static final long CLOSE_MILLIS = 1000;
  private static final int BATCH = 512;
  /** A log is worth a new snapshot when it is this many times as long as what it says, and not short. */
  private static final int WASTE = 4;
  private static final int SHORT = 4096;

  private record Job(String session, long version, ClaimState state, Consumer<Written> told) {
    boolean isWrite() {
      return state != null;
    }
  }

  private static final Job STOP = new Job(null, 0, null, null);

  private final Path folder;
  private final int most;
  private final LongSupplier millis;
  private final EventLog log;
  private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>(QUEUE);
  private final Thread thread = new Thread(this::work, "claims");
  /** The thread's own from here on. */
  private MemoryStore states;
  private LogFolder files;
  private String away = "";

  private DiskStore(Path folder, int most, LongSupplier millis, EventLog log) {
    this.folder = folder;
    this.most = most;
    this.millis = millis;
    this.log = log;
  }

  /**
   * Opens the folder, making it where it is missing, and reads what it holds. Throws where that can't be read; that
   * another process holds it is no failure, but told to whoever asks.
   */
  public static DiskStore open(Path folder, int most, LongSupplier millis, EventLog log) throws IOException {
    DiskStore store = new DiskStore(folder, most, millis, log);
    store.take();
    store.thread.setDaemon(true);
    store.thread.start();
    return store;
  }

  @Override
  public void read(String session, Consumer<Written> told) {
    put(new Job(session, 0, null, told));
  }

  @Override
  public void compareAndSet(String session, long version, ClaimState state, Consumer<Written> told) {
    put(new Job(session, version, state, told));
  }

  private void put(Job job) {
    if (!jobs.offer(job)) {
      job.told().accept(new Written(false, null, "too much waits for the disk"));
    }
  }

  // ---- The thread's own -----------------------------------------------------------------------

  /** Goes on behind the order to stop until nothing is left: an answer may have brought the next job with it. */
  private void work() {
    boolean stopping = false;
    try {
      while (!stopping || !jobs.isEmpty()) {
        List<Job> batch = new ArrayList<>();
        batch.add(jobs.take());
        jobs.drainTo(batch, BATCH - 1);
        stopping |= batch.remove(STOP);
        carryOut(batch);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      leave();
    }
  }

  private void carryOut(List<Job> batch) {
    try {
      if (files == null) {
        take();
      }
    } catch (IOException e) {
      away = "the folder cannot be read: " + e;
    }
    if (files == null) {
      batch.forEach(job -> job.told().accept(new Written(false, null, away)));
      return;
    }
    Map<String, Versioned> changes = new LinkedHashMap<>();
    List<Written> answers = new ArrayList<>();
    for (Job job : batch) {
      answers.add(answer(job, changes));
    }
    String fault = write(changes);
    for (int i = 0; i < batch.size(); i++) {
      batch.get(i).told().accept(fault.isEmpty() ? answers.get(i) : new Written(false, null, fault));
    }
    compact();
  }

  /** What the job is told once all changes are on disk. */
  private Written answer(Job job, Map<String, Versioned> changes) {
    Versioned changed = changes.get(job.session());
    Versioned now = changed != null ? changed : states.get(job.session());
    if (!job.isWrite()) {
      return new Written(true, now, "");
    }
    if (now.version() != job.version()) {
      return new Written(false, now, "");
    }
    if (now.version() == 0 && states.all().size() + changes.size() >= most) {
      return new Written(false, null, "all " + most + " claims are held");
    }
    Versioned next = new Versioned(now.version() + 1, job.state());
    changes.put(job.session(), next);
    return new Written(true, next, "");
  }

  /** Empty, or why nothing was written. */
  private String write(Map<String, Versioned> changes) {
    if (changes.isEmpty()) {
      return "";
    }
    try {
      files.append(records(changes));
      changes.forEach(states::put);
      return "";
    } catch (IOException e) {
      log.warn("claims-not-written", "lemondeal: claims cannot be written: " + e, "folder", folder.toString());
      if (!files.isSound()) {
        // The end of the log is not known any more: it is read anew, and cut where it is torn.
        leave();
      }
      return "the disk: " + e.getMessage();
    }
  }

  private static List<byte[]> records(Map<String, Versioned> changes) {
    List<byte[]> records = new ArrayList<>(changes.size());
    changes.forEach((session, versioned) -> records.add(LogRecord.newBuilder()
        .setSession(session)
        .setVersion(versioned.version())
        .setState(StateCodec.write(versioned.state()))
        .build().toByteArray()));
    return records;
  }

  private void compact() {
    if (files == null || files.records() < SHORT || files.records() < (long) WASTE * states.all().size()) {
      return;
    }
    try {
      files.begin(records(states.all()));
    } catch (IOException e) {
      log.warn("claims-not-compacted", "lemondeal: claims cannot be compacted: " + e, "folder", folder.toString());
    }
  }

  /** Takes the folder, unless another process holds it. */
  private void take() throws IOException {
    MemoryStore read = new MemoryStore(most, millis);
    LogFolder taken = LogFolder.open(folder, record -> {
      try {
        LogRecord r = LogRecord.parseFrom(record);
        read.put(r.getSession(), new Versioned(r.getVersion(), StateCodec.read(r.getState())));
      } catch (InvalidProtocolBufferException e) {
        throw new IOException("a record with a true checksum cannot be read", e);
      }
    });
    if (taken == null) {
      away = "another process holds the claims";
      return;
    }
    if (taken.tornBytes() > 0) {
      log.warn("claims-torn", "lemondeal: the last " + taken.tornBytes() + " bytes of the claims' log were torn and are cut off",
          "folder", folder.toString(), "bytes", taken.tornBytes());
    }
    states = read;
    files = taken;
  }

  private void leave() {
    if (files != null) {
      files.close();
      files = null;
    }
  }

  @Override
  public void close() {
    try {
      jobs.put(STOP);
      thread.join(CLOSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
