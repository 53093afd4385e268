package lemondeal.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondeal.claims.CasStore;
import lemondeal.claims.ClaimState;
import lemondeal.claims.DiskStore;
import lemondeal.log.PlainLog;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Acknowledged claims must survive failing disk writes and syncs followed by a kill of the process. */
@Timeout(120)
class FailingDiskTest {
  private static final long NOW = 1_000_000;
  private static final int MAX_CLAIMS = 100_000;
  private static final int TIMEOUT_SECONDS = 20;
  /** Number of claims made before the process is killed. */
  private static final int CLAIMS_BEFORE_KILL = 600;
  /** Before one in this many claims, a fault is injected into the next calls. */
  private static final int FAULT_ONE_IN = 25;
  private static final String WRITTEN_PREFIX = "written ";

  @TempDir
  Path folder;

  private static String session(int number) {
    return String.format("%032x", number);
  }

  private static ClaimState state(int number) {
    return new ClaimState(16, 32 + number, "holder-" + number, NOW + 1000, NOW + 50_000);
  }

  private static CasStore.Result await(Consumer<Consumer<CasStore.Result>> call) throws InterruptedException {
    BlockingQueue<CasStore.Result> answers = new LinkedBlockingQueue<>();
    call.accept(answers::add);
    CasStore.Result answer = answers.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(answer != null, "the store did not answer");
    return answer;
  }

  /** Makes a claim for each number that it reads on standard input, one a line, and prints the result of each. */
  public static final class ClaimWriter {
    public static void main(String[] args) throws Exception {
      try (DiskStore store = DiskStore.open(Path.of(args[0]), MAX_CLAIMS, () -> NOW, new PlainLog(System.err));
          BufferedReader in = new BufferedReader(new java.io.InputStreamReader(System.in, StandardCharsets.UTF_8))) {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          int number = Integer.parseInt(line);
          CasStore.Result answer = await(callback -> store.compareAndSet(session(number), 0, state(number), callback));
          System.out.println((answer.success() ? WRITTEN_PREFIX : "refused ") + number);
        }
      }
    }
  }

  private Process startChild(FaultShim shim) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
        System.getProperty("java.class.path"), ClaimWriter.class.getName(), folder.resolve("claims").toString())
        .redirectError(ProcessBuilder.Redirect.DISCARD);
    builder.environment().putAll(shim.environment());
    return builder.start();
  }

  /** Makes some of the next file writes or syncs fail. */
  private static void injectFault(FaultShim shim, UniformRandomProvider random) {
    FaultShim.SystemCall call = random.nextBoolean() ? FaultShim.SystemCall.FILE_WRITE : FaultShim.SystemCall.FILE_SYNC;
    shim.failNext(call, random.nextBoolean() ? Errno.ENOSPC : Errno.EIO, 1 + random.nextInt(5));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void acknowledgedClaimsSurviveAKill(long seed) throws Exception {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    FaultShim shim = FaultShim.create(FaultShim.compile(folder), folder.resolve("shim"));
    List<Integer> acknowledged = new ArrayList<>();
    Process child = startChild(shim);
    try (BufferedReader childOutput = child.inputReader(StandardCharsets.UTF_8);
        java.io.BufferedWriter childInput = child.outputWriter(StandardCharsets.UTF_8)) {
      for (int i = 0; i < CLAIMS_BEFORE_KILL; i++) {
        if (random.nextInt(FAULT_ONE_IN) == 0) {
          injectFault(shim, random);
        }
        childInput.write(i + "\n");
        childInput.flush();
        if (childOutput.readLine().equals(WRITTEN_PREFIX + i)) {
          acknowledged.add(i);
        }
      }
      // One more claim is in progress when the process is killed.
      childInput.write(CLAIMS_BEFORE_KILL + "\n");
      childInput.flush();
    } finally {
      child.destroyForcibly().waitFor();
    }
    assertTrue(acknowledged.size() > CLAIMS_BEFORE_KILL / 2 && acknowledged.size() < CLAIMS_BEFORE_KILL,
        acknowledged.size() + " written");
    try (DiskStore store = DiskStore.open(folder.resolve("claims"), MAX_CLAIMS, () -> NOW, new PlainLog(System.err))) {
      for (int number : acknowledged) {
        CasStore.Result read = await(callback -> store.read(session(number), callback));
        assertEquals(new CasStore.VersionedState(1, state(number)), read.current(),
            "an acknowledged claim was lost: " + number);
      }
    }
  }
}
