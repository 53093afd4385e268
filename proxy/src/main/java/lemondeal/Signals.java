package lemondeal;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The signals that the program handles: SIGHUP reloads the configuration, SIGTERM and SIGINT stop the program.
 *
 * <p>A signal that the parent process ignores is ignored here too, since the disposition is inherited and the JVM does
 * not change it (see {@code nohup(1)} and {@code signal(7)}). It cannot be changed from within a JVM, only reported.
 */
final class Signals {
  private static final String HANGUP = "HUP";
  /** The handled signals, in the order of their numbers. */
  private static final List<String> HANDLED = List.of(HANGUP, "INT", "TERM");
  private static final List<Integer> HANDLED_NUMBERS = List.of(1, 2, 15);
  /** Linux: one line has the mask of ignored signals in hexadecimal digits, with signal n as bit n - 1. */
  private static final Path STATUS_FILE = Path.of("/proc/self/status");
  private static final String IGNORED_MASK_PREFIX = "SigIgn:";
  private static final int HEX_RADIX = 16;

  private Signals() {}

  /**
   * Runs the task on each SIGHUP, on a thread of the JVM. Without a handler the JVM exits on SIGHUP. The JDK has no
   * public API for signals; the classes of {@code jdk.unsupported} are commonly used instead. They are accessed by
   * reflection, since each direct use causes a compiler warning, and there are no other warnings in this project.
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
      throw new IllegalStateException("this JVM cannot handle SIG" + HANGUP, e);
    }
  }

  /**
   * Those of the handled signals that this process was started with as ignored, such as {@code SIGHUP}. Empty also
   * where the system does not provide this information.
   */
  static List<String> ignored() {
    try {
      for (String line : Files.readAllLines(STATUS_FILE)) {
        if (line.startsWith(IGNORED_MASK_PREFIX)) {
          return ignored(Long.parseUnsignedLong(line.substring(IGNORED_MASK_PREFIX.length()).trim(), HEX_RADIX));
        }
      }
    } catch (IOException | NumberFormatException e) {
      // Not Linux, or an unknown format.
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
