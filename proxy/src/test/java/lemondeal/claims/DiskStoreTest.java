package lemondeal.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lemondeal.log.PlainLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Claims on disk after restarts, truncation, damage, compaction and concurrent use of the folder. */
@Timeout(60)
class DiskStoreTest {
  private static final long NOW = 1_000_000;

  @TempDir
  Path folder;

  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();

  private DiskStore open(Path path) throws IOException {
    return DiskStore.open(path, 100_000, () -> NOW, new PlainLog(new PrintStream(logOutput, true)));
  }

  private static ClaimAnswer claim(DiskStore store, int session, long epoch) throws InterruptedException {
    BlockingQueue<ClaimAnswer> answers = new LinkedBlockingQueue<>();
    new CasClaimService(store, () -> NOW).claim(
        new Claim(String.format("%032x", session), epoch, "h", 1000, NOW + 50_000), answers::add);
    ClaimAnswer answer = answers.poll(20, TimeUnit.SECONDS);
    assertNotNull(answer);
    return answer;
  }

  private static void claimAndCommit(DiskStore store, int session) throws InterruptedException {
    ClaimAnswer.Granted granted = assertInstanceOf(ClaimAnswer.Granted.class, claim(store, session, 16));
    BlockingQueue<Boolean> processed = new LinkedBlockingQueue<>();
    new CasClaimService(store, () -> NOW).commit(
        new Claim(String.format("%032x", session), 16, "h", 1000, NOW + 50_000), granted.fence());
    // Jobs are processed in order: when this read has returned, the commit is done.
    store.read("00", answer -> processed.add(true));
    assertNotNull(processed.poll(20, TimeUnit.SECONDS));
    assertEquals(new ClaimAnswer.Used(), claim(store, session, 16));
  }

  private Path copy(Path from, String name) throws IOException {
    Path to = folder.resolve(name);
    Files.createDirectories(to);
    try (Stream<Path> files = Files.list(from)) {
      for (Path file : files.toList()) {
        Files.copy(file, to.resolve(file.getFileName()));
      }
    }
    return to;
  }

  @Test
  void usedTokensSurviveARestart() throws Exception {
    Path path = folder.resolve("a");
    try (DiskStore store = open(path)) {
      claimAndCommit(store, 1);
    }
    try (DiskStore store = open(path)) {
      assertEquals(new ClaimAnswer.Used(), claim(store, 1, 16));
    }
  }

  /** After a crash at any byte of the last write, earlier writes are kept and the incomplete record is truncated. */
  @Test
  void tornLogTailIsTruncatedAtAnyByte() throws Exception {
    Path intactFolder = folder.resolve("whole");
    try (DiskStore store = open(intactFolder)) {
      claimAndCommit(store, 1);
    }
    int firstSessionBytes = (int) Files.size(intactFolder.resolve("log-0"));
    try (DiskStore store = open(intactFolder)) {
      claimAndCommit(store, 2);
    }
    byte[] bytes = Files.readAllBytes(intactFolder.resolve("log-0"));
    assertTrue(bytes.length > firstSessionBytes);
    for (int cut = firstSessionBytes; cut < bytes.length; cut++) {
      Path tornFolder = copy(intactFolder, "torn-" + cut);
      byte[] remaining = java.util.Arrays.copyOf(bytes, cut);
      Files.write(tornFolder.resolve("log-0"), remaining);
      try (DiskStore store = open(tornFolder)) {
        assertEquals(new ClaimAnswer.Used(), claim(store, 1, 16), "cut at " + cut);
        assertInstanceOf(ClaimAnswer.Granted.class, claim(store, 3, 16), "writes continue after the truncation");
      }
      try (DiskStore store = open(tornFolder)) {
        assertInstanceOf(ClaimAnswer.Held.class, new OtherHolder(store).claim(3),
            "writes after the truncation are kept");
      }
    }
    assertTrue(logOutput.toString().contains("were torn and are cut off"), logOutput.toString());
  }

  /** Claims a session for another holder. */
  private record OtherHolder(DiskStore store) {
    ClaimAnswer claim(int session) throws InterruptedException {
      BlockingQueue<ClaimAnswer> answers = new LinkedBlockingQueue<>();
      new CasClaimService(store, () -> NOW).claim(
          new Claim(String.format("%032x", session), 16, "another", 1000, NOW + 50_000), answers::add);
      return answers.poll(20, TimeUnit.SECONDS);
    }
  }

  /** A changed byte inside a snapshot is not an incomplete write: the rest can't be trusted, and opening it fails. */
  @Test
  void damagedSnapshotFailsTheOpen() throws Exception {
    Path path = folder.resolve("b");
    try (WriteAheadLog writeAheadLog = WriteAheadLog.open(path, record -> { })) {
      writeAheadLog.writeSnapshot(List.of(new byte[] {1, 2, 3}));
    }
    byte[] bytes = Files.readAllBytes(path.resolve("snapshot-1"));
    bytes[9] ^= 1;
    Files.write(path.resolve("snapshot-1"), bytes);
    IOException error = assertThrows(IOException.class, () -> open(path));
    assertTrue(error.getMessage().contains("damaged"), error.getMessage());
  }

  /** A snapshot is complete before its log starts; a crash in between leaves the old pair of files or the new one. */
  @Test
  void snapshotReplacesTheLog() throws Exception {
    Path path = folder.resolve("c");
    List<String> recordsRead = new ArrayList<>();
    try (WriteAheadLog writeAheadLog = WriteAheadLog.open(path, record -> { })) {
      writeAheadLog.append(List.of(new byte[] {1}, new byte[] {2}));
      writeAheadLog.writeSnapshot(List.of(new byte[] {2}));
      writeAheadLog.append(List.of(new byte[] {3}));
      assertEquals(1, writeAheadLog.recordCount());
    }
    Files.write(path.resolve("snapshot.new"), new byte[] {9, 9});
    try (WriteAheadLog writeAheadLog =
        WriteAheadLog.open(path, record -> recordsRead.add(Integer.toString(record[0])))) {
      assertEquals(List.of("2", "3"), recordsRead);
      assertEquals(0, writeAheadLog.truncatedBytes());
    }
  }

  @Test
  void manyWritesAreCompacted() throws Exception {
    Path path = folder.resolve("d");
    try (DiskStore store = open(path)) {
      BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
      int writes = 6000;
      writeRepeatedly(store, "ab", 0, writes, done);
      assertNotNull(done.poll(50, TimeUnit.SECONDS));
    }
    try (Stream<Path> files = Files.list(path)) {
      assertTrue(files.anyMatch(file -> file.getFileName().toString().startsWith("snapshot-")));
    }
    try (DiskStore store = open(path)) {
      BlockingQueue<CasStore.Result> results = new LinkedBlockingQueue<>();
      store.read("ab", results::add);
      assertEquals(6000, results.poll(20, TimeUnit.SECONDS).current().version());
    }
  }

  private static void writeRepeatedly(DiskStore store, String session, long version, int writesLeft,
      BlockingQueue<Boolean> done) {
    if (writesLeft == 0) {
      done.add(true);
      return;
    }
    store.compareAndSet(session, version, new ClaimState(version, version, "", 0, NOW + 50_000),
        result -> writeRepeatedly(store, session, version + 1, writesLeft - 1, done));
  }

  /** Guards against a stop job that is ignored in the middle of a batch: once, the process then never ended. */
  @Test
  void closeEndsWhileCallbacksEnqueueJobs() throws Exception {
    for (int round = 0; round < 20; round++) {
      DiskStore store = open(folder.resolve("stop-" + round));
      List<ClaimAnswer> answers = java.util.Collections.synchronizedList(new ArrayList<>());
      for (int session = 0; session < 50; session++) {
        new CasClaimService(store, () -> NOW).claim(
            new Claim(String.format("%032x", session), 16, "h", 1000, NOW + 50_000), answers::add);
      }
      long startNanos = System.nanoTime();
      store.close();
      assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(900),
          "close waited for a thread that did not end");
      assertEquals(50, answers.size(), "every claim has an answer");
    }
  }

  /** Guards against two processes that write to one log, as during an upgrade. */
  @Test
  void secondStoreIsRefusedWhileTheFolderIsLocked() throws Exception {
    Path path = folder.resolve("e");
    DiskStore first = open(path);
    try (DiskStore second = open(path)) {
      claimAndCommit(first, 1);
      assertEquals(new ClaimAnswer.Unknown("another process has locked the claims folder"), claim(second, 1, 16));
      first.close();
      assertEquals(new ClaimAnswer.Used(), claim(second, 1, 16), "it loads what the first store wrote");
    }
  }
}
