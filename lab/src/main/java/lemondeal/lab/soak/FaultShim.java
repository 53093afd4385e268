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
 * The library {@code fault_shim.c}, compiled once, and the control file with which one process's system calls are made
 * to fail and its wall clock is stepped. The layout of the file is the C structure's.
 */
final class FaultShim {
  /** The calls that can be made to fail, by their place in the control file. */
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
   * @throws IOException if there is none, or it fails; its words are in the message
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
      throw new IOException("the fault shim does not compile: " + compilerOutput);
    }
    return library;
  }

  /** Makes the control file of one process, in which nothing fails. */
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

  /** What the process is to be started with. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), CONTROL_VARIABLE, controlFile.toString());
  }

  /** From now on the wall clock differs by this from the machine's; the monotonic clock runs on. */
  void stepWallClock(Duration offset) {
    control.putLong(WALL_CLOCK_OFFSET, offset.toNanos());
  }

  /** So many of the next calls fail with this error. */
  void failNext(SystemCall call, Errno error, int count) {
    control.putInt(call.offset, error.number);
    control.putInt(call.offset + FAILURE_COUNT_OFFSET, count);
  }

  /** From now on no socket is read or written in larger pieces; 0 for no bound. */
  void limitSocketBytes(int max) {
    control.putInt(BYTES_AT_ONCE_OFFSET, max);
  }

  /** All is well again but for the wall clock, which stays where it was stepped to. */
  void clearFaults() {
    for (SystemCall call : SystemCall.values()) {
      control.putInt(call.offset + FAILURE_COUNT_OFFSET, 0);
    }
    limitSocketBytes(0);
  }
}
