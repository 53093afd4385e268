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
 * A disk that fills up under claims, for real: a process of its own whose files may not grow beyond a few kilobytes. The
 * kernel then does what a full disk does, a write that is cut short and then refused, and nothing is feigned.
 */
@Timeout(120)
class FullDiskTest {
  private static final long NOW = 1_000_000;
  /** Blocks that the child's files may take: some dozens of records. */
  private static final int BLOCKS = 8;
  private static final int SESSIONS = 2000;
  private static final int REFUSED_IN_A_ROW = 5;

  @TempDir
  Path folder;

  private static String session(int number) {
    return String.format("%032x", number);
  }

  private static ClaimState state(int number) {
    return new ClaimState(16, 32 + number, "holder-" + number, NOW + 1000, NOW + 50_000);
  }

  /**
   * Writes sessions until the disk refuses some in a row, then reads one that was written; one line of output each. Runs
   * in a process of its own, started by the test.
   */
  public static final class Child {
    public static void main(String[] args) throws Exception {
      try (DiskStore store = DiskStore.open(Path.of(args[0]), 100_000, () -> NOW, new PlainLog(System.err))) {
        int refused = 0;
        for (int i = 0; i < SESSIONS && refused < REFUSED_IN_A_ROW; i++) {
          int number = i;
          CasStore.Written written = wait(told -> store.compareAndSet(session(number), 0, state(number), told));
          System.out.println((written.done() ? "written " : "refused ") + i + " " + written.fault());
          refused = written.done() ? 0 : refused + 1;
        }
        System.out.println("read " + wait(told -> store.read(session(0), told)).now().version());
      }
    }

    private interface Call {
      void make(java.util.function.Consumer<CasStore.Written> told);
    }

    private static CasStore.Written wait(Call call) throws InterruptedException {
      BlockingQueue<CasStore.Written> answers = new LinkedBlockingQueue<>();
      call.make(answers::add);
      return answers.poll(20, TimeUnit.SECONDS);
    }
  }

  @Test
  void aFullDiskRefusesWhatItCanNotHoldAndLosesNothingThatWasAnswered() throws Exception {
    Path at = folder.resolve("claims");
    String java = ProcessHandle.current().info().command().orElse("java");
    Process child = new ProcessBuilder("sh", "-c", "ulimit -f " + BLOCKS + " && exec \"$0\" -XX:-UsePerfData -cp \"$1\" "
        + "\"$2\" \"$3\"", java, System.getProperty("java.class.path"), Child.class.getName(), at.toString())
        .redirectError(ProcessBuilder.Redirect.PIPE).start();
    String out = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String err = new String(child.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(child.waitFor(60, TimeUnit.SECONDS));
    assertEquals(0, child.exitValue(), err);

    List<Integer> written = new ArrayList<>();
    List<Integer> refused = new ArrayList<>();
    for (String line : out.split("\n")) {
      String[] words = line.split(" ", 3);
      if (words[0].equals("written")) {
        written.add(Integer.parseInt(words[1]));
      } else if (words[0].equals("refused")) {
        refused.add(Integer.parseInt(words[1]));
        assertTrue(words[2].startsWith("the disk: "), line);
      }
    }
    assertTrue(written.size() > 10, "the limit lets some dozens in: " + out);
    assertEquals(REFUSED_IN_A_ROW, refused.size(), "the first refusal ends nothing but its own write: " + out);
    assertTrue(out.contains("read 1"), "what is held is still read: " + out);
    assertTrue(err.contains("claims cannot be written"), err);

    ByteArrayOutputStream told = new ByteArrayOutputStream();
    try (DiskStore store = DiskStore.open(at, 100_000, () -> NOW, new PlainLog(new PrintStream(told, true)))) {
      for (int i : written) {
        assertEquals(new CasStore.Versioned(1, state(i)), read(store, i), "answered as written, and lost: " + i);
      }
      for (int i : refused) {
        assertEquals(0, read(store, i).version(), "refused, and there all the same: " + i);
      }
    }
    assertFalse(told.toString().contains("torn"), "the refused write was cut back by the store, not at the restart: "
        + told);
    assertTrue(Files.size(at.resolve("log-0")) <= BLOCKS * 1024L);
  }

  private static CasStore.Versioned read(DiskStore store, int session) throws InterruptedException {
    BlockingQueue<CasStore.Written> answers = new LinkedBlockingQueue<>();
    store.read(session(session), answers::add);
    return answers.poll(20, TimeUnit.SECONDS).now();
  }
}
