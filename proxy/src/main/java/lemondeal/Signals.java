package lemondeal;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The signals that the program acts on: SIGHUP has it read its configuration again, SIGTERM and SIGINT have it stop.
 *
 * <p>A signal that the program's starter ignores is ignored here too, since that is inherited, and a JVM leaves it so
 * (see {@code nohup(1)} and {@code signal(7)}). Nothing in a JVM can change that; it can only be told.
 */
final class Signals {
  private static final String HANGUP = "HUP";
  /** Those that are acted on, in the order of their numbers. */
  private static final List<String> HANDLED = List.of(HANGUP, "INT", "TERM");
  private static final List<Integer> HANDLED_NUMBERS = List.of(1, 2, 15);
  /** Linux: signal n is bit n - 1 of the mask in this row, in hexadecimal digits. */
  private static final Path STATUS_FILE = Path.of("/proc/self/status");
  private static final String IGNORED_MASK_PREFIX = "SigIgn:";
  private static final int HEX_RADIX = 16;

  private Signals() {}

  /**
   * Runs the task on each SIGHUP from now on, on a thread of the JVM's. A JVM without a handler ends on it. The JDK has
   * no public interface to signals: the classes of {@code jdk.unsupported} are the customary one, and are reached by
   * name, since the compiler warns of each use of theirs and of nothing else here.
   */
  static void onHangup(Runnable task) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object hangupHandler = Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType},
          (proxy, method, arguments) -> {
            task.run();
            return null;
          });
      Object hangup = signalType.getConstructor(String.class).newInstance(HANGUP);
      signalType.getMethod("handle", signalType, handlerType).invoke(null, hangup, hangupHandler);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this JVM can't hear SIG" + HANGUP, e);
    }
  }

  /**
   * The signals that this process was started with as ignored, of those that it acts on, as {@code SIGHUP}. Empty also
   * where the system does not tell.
   */
  static List<String> ignored() {
    try {
      for (String line : Files.readAllLines(STATUS_FILE)) {
        if (line.startsWith(IGNORED_MASK_PREFIX)) {
          return ignored(Long.parseUnsignedLong(line.substring(IGNORED_MASK_PREFIX.length()).trim(), HEX_RADIX));
        }
      }
    } catch (IOException | NumberFormatException e) {
      // Not Linux, or not as its page says.
    }
    return List.of();
  }

  private static List<String> ignored(long mask) {
    List<String> ignored = new ArrayList<>();
    for (int i = 0; i < HANDLED.size(); i++) {
      if ((mask >>> (HANDLED_NUMBERS.get(i) - 1) & 1) != 0) {
        ignored.add("SIG" + HANDLED.get(i));
      }
    }
    return ignored;
  }
}
