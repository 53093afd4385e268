package lemondeal.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lemondeal.log.PlainLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Claims on a disk that fills up. A child process runs with a file size limit of a few kilobytes, so that the kernel
 * itself produces what a full disk does: a partial write followed by an error. Nothing is mocked.
 */
@Timeout(120)
class FullDiskTest {
  private static final long NOW = 1_000_000;
  /** The child's limit for {@code ulimit -f}: each file has room for some dozens of records. */
  private static final int FILE_SIZE_LIMIT_BLOCKS = 8;
  private static final int SESSIONS = 2000;
  private static final int MAX_CONSECUTIVE_REFUSALS = 5;

  @TempDir
  Path folder;

  private static String session(int number) {
    return String.format("%032x", number);
  }

  private static ClaimState state(int number) {
    return new ClaimState(16, 32 + number, "holder-" + number, NOW + 1000, NOW + 50_000);
  }

  /**
   * Writes sessions until several writes in a row fail, then reads one that was written; prints one line for each call.
   * Runs in a separate process that the test starts.
   */
  public static final class WriterProcess {
    public static void main(String[] args) throws Exception {
      try (DiskStore store = DiskStore.open(Path.of(args[0]), 100_000, () -> NOW, new PlainLog(System.err))) {
        int consecutiveRefusals = 0;
        for (int i = 0; i < SESSIONS && consecutiveRefusals < MAX_CONSECUTIVE_REFUSALS; i++) {
          int number = i;
          CasStore.Result result = await(callback -> store.compareAndSet(session(number), 0, state(number), callback));
          System.out.println((result.success() ? "written " : "refused ") + i + " " + result.error());
          consecutiveRefusals = result.success() ? 0 : consecutiveRefusals + 1;
        }
        System.out.println("read " + await(callback -> store.read(session(0), callback)).current().version());
      }
    }

    private interface StoreCall {
      void start(java.util.function.Consumer<CasStore.Result> callback);
    }

    private static CasStore.Result await(StoreCall call) throws InterruptedException {
      BlockingQueue<CasStore.Result> results = new LinkedBlockingQueue<>();
      call.start(results::add);
      return results.poll(20, TimeUnit.SECONDS);
    }
  }

  @Test
  void fullDiskRefusesWritesAndLosesNoAcknowledgedOnes() throws Exception {
    Path path = folder.resolve("claims");
    String java = ProcessHandle.current().info().command().orElse("java");
    Process child = new ProcessBuilder("sh", "-c", "ulimit -f " + FILE_SIZE_LIMIT_BLOCKS
        + " && exec \"$0\" -XX:-UsePerfData -cp \"$1\" " + "\"$2\" \"$3\"",
        java, System.getProperty("java.class.path"), WriterProcess.class.getName(), path.toString())
        .redirectError(ProcessBuilder.Redirect.PIPE).start();
    String stdout = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String stderr = new String(child.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(child.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, child.exitValue(), stderr);

    List<Integer> written = new ArrayList<>();
    List<Integer> refused = new ArrayList<>();
    for (String line : stdout.split("\n")) {
      String[] words = line.split(" ", 3);
      if (words[0].equals("written")) {
        written.add(Integer.parseInt(words[1]));
      } else if (words[0].equals("refused")) {
        refused.add(Integer.parseInt(words[1]));
        assertTrue(words[2].startsWith("the disk: "), line);
      }
    }
    assertTrue(written.size() > 10, "the limit leaves room for some dozens of records: " + stdout);
    assertEquals(MAX_CONSECUTIVE_REFUSALS, refused.size(), "a refused write affects no other call: " + stdout);
    assertTrue(stdout.contains("read 1"), "existing states can still be read: " + stdout);
    assertTrue(stderr.contains("claims cannot be written"), stderr);

    ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    try (DiskStore store = DiskStore.open(path, 100_000, () -> NOW, new PlainLog(new PrintStream(logOutput, true)))) {
      for (int i : written) {
        assertEquals(new CasStore.VersionedState(1, state(i)), read(store, i), "acknowledged and lost: " + i);
      }
      for (int i : refused) {
        assertEquals(0, read(store, i).version(), "refused, but stored: " + i);
      }
    }
    assertFalse(logOutput.toString().contains("torn"),
        "the store must undo the refused write at once, not at the restart: " + logOutput);
    assertTrue(Files.size(path.resolve("log-0")) <= FILE_SIZE_LIMIT_BLOCKS * 1024L);
  }

  private static CasStore.VersionedState read(DiskStore store, int session) throws InterruptedException {
    BlockingQueue<CasStore.Result> results = new LinkedBlockingQueue<>();
    store.read(session(session), results::add);
    return results.poll(20, TimeUnit.SECONDS).current();
  }
}
