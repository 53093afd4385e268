package lemondeal;

import com.sun.management.HotSpotDiagnosticMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import lemondeal.config.ConfigException;

/**
 * Whether the JVM gives ring buffers the memory off the heap that an operator's file grants them. Without it the proxy
 * would take clients in that it can't hold, and fail each one when its buffers are taken.
 */
final class DirectMemory {
  /** What XNIO and the JDK take off the heap beside the rings. */
  private static final long RESERVED_MB = 4;
  private static final int MB_SHIFT = 20;

  private DirectMemory() {}

  /** Throws, with what is allowed, where {@code ringsMb} does not fit. */
  static void check(Path file, int ringsMb) {
    long maxMb = maxDirectMemoryMb();
    if (ringsMb > maxMb - RESERVED_MB) {
      throw new ConfigException(file + ": limits.rings_mb: found " + ringsMb + "; allowed: at most "
          + Math.max(0, maxMb - RESERVED_MB) + " with this JVM's " + maxMb
          + " MB off the heap (-XX:MaxDirectMemorySize, or -Xmx where it is not set)");
    }
  }

  /** The JVM's bound on direct buffers, in megabytes. */
  private static long maxDirectMemoryMb() {
    String option = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class)
        .getVMOption("MaxDirectMemorySize").getValue();
    long bytes = Long.parseLong(option);
    return (bytes > 0 ? bytes : Runtime.getRuntime().maxMemory()) >> MB_SHIFT;
  }
}
