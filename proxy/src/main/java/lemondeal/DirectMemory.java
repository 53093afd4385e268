package lemondeal;

import com.sun.management.HotSpotDiagnosticMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import lemondeal.config.ConfigException;

/**
 * Checks that the JVM allows the direct memory that the operator's file grants to ring buffers. Otherwise the proxy
 * would accept clients beyond its memory, and each of them would fail when its buffers are allocated.
 */
final class DirectMemory {
  /** Direct memory of XNIO and the JDK, besides the ring buffers. */
  private static final long RESERVED_MB = 4;
  private static final int MB_SHIFT = 20;

  private DirectMemory() {}

  /** Throws if {@code ringsMb} does not fit; the message says what is allowed. */
  static void check(Path file, int ringsMb) {
    long maxMb = maxDirectMemoryMb();
    if (ringsMb > maxMb - RESERVED_MB) {
      throw new ConfigException(file + ": limits.rings_mb: found " + ringsMb + "; allowed: at most "
          + Math.max(0, maxMb - RESERVED_MB) + " with this JVM's " + maxMb
          + " MB off the heap (-XX:MaxDirectMemorySize, or -Xmx where it is not set)");
    }
  }

  /** The JVM's limit on direct memory, in megabytes. */
  private static long maxDirectMemoryMb() {
    String option = ManagementFactory.getPlatformMXBean(HotSpotDiagnosticMXBean.class)
        .getVMOption("MaxDirectMemorySize").getValue();
    long bytes = Long.parseLong(option);
    return (bytes > 0 ? bytes : Runtime.getRuntime().maxMemory()) >> MB_SHIFT;
  }
}
