package lemondeal.lab.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Map;

/**
 * Control of the preloaded library {@code fault_shim.c} in one process. The library makes system calls of the process
 * fail and steps its wall clock, as its control file says. The file has the layout of the C structure {@code control}.
 */
final class FaultShim {
  /** The system calls that can be made to fail, with their offsets in the control file. */
  enum SystemCall {
    ACCEPT(8), SOCKET(16), CONNECT(24), WAIT(32), FILE_WRITE(40), FILE_SYNC(48);

    private final int offset;

    SystemCall(int offset) {
      this.offset = offset;
    }
  }

  private static final String SOURCE = "/lemondeal/lab/soak/fault_shim.c";
  private static final String CONTROL_VARIABLE = "SOAK_SHIM_CONTROL";
  private static final int WALL_CLOCK_OFFSET = 0;
  private static final int BYTES_AT_ONCE_OFFSET = 56;
  private static final int CONTROL_SIZE = 64;
  private static final int FAILURE_COUNT_OFFSET = 4;

  private final Path library;
  private final Path controlFile;
  private final MappedByteBuffer control;

  private FaultShim(Path library, Path controlFile, MappedByteBuffer control) {
    this.library = library;
    this.controlFile = controlFile;
    this.control = control;
  }

  /**
   * Compiles the library into this folder with the system's C compiler.
   *
   * @throws IOException if there is no compiler, or it fails; the message has its output
   */
  static Path compile(Path folder) throws IOException, InterruptedException {
    Path source = folder.resolve("fault_shim.c");
    try (InputStream in = FaultShim.class.getResourceAsStream(SOURCE)) {
      Files.copy(in, source, StandardCopyOption.REPLACE_EXISTING);
    }
    Path library = folder.resolve("fault_shim.so");
    Process compiler = new ProcessBuilder("gcc", "-O2", "-shared", "-fPIC", "-o", library.toString(), source.toString(),
        "-ldl").redirectErrorStream(true).start();
    String compilerOutput = new String(compiler.getInputStream().readAllBytes());
    if (compiler.waitFor() != 0) {
      throw new IOException("cannot compile the fault shim: " + compilerOutput);
    }
    return library;
  }

  /** Creates the control file of one process, with no fault set. */
  static FaultShim create(Path library, Path controlFile) throws IOException {
    Files.write(controlFile, new byte[CONTROL_SIZE]);
    try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      MappedByteBuffer control = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_SIZE);
      control.order(ByteOrder.nativeOrder());
      return new FaultShim(library, controlFile, control);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the environment variables that load the library into the process. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), CONTROL_VARIABLE, controlFile.toString());
  }

  /** Sets the offset of the process's wall clock from the machine's; the monotonic clock is not changed. */
  void stepWallClock(Duration offset) {
    control.putLong(WALL_CLOCK_OFFSET, offset.toNanos());
  }

  /** Makes the next {@code count} calls fail with this error. */
  void failNext(SystemCall call, Errno error, int count) {
    control.putInt(call.offset, error.number);
    control.putInt(call.offset + FAILURE_COUNT_OFFSET, count);
  }

  /** Limits how many bytes one socket read or write moves; 0 removes the limit. */
  void limitSocketBytes(int max) {
    control.putInt(BYTES_AT_ONCE_OFFSET, max);
  }

  /** Removes all faults but the wall clock's offset. */
  void clearFaults() {
    for (SystemCall call : SystemCall.values()) {
      control.putInt(call.offset + FAILURE_COUNT_OFFSET, 0);
    }
    limitSocketBytes(0);
  }
}
