package lemondeal.lab.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the kernel says of a process (Linux alone). */
record ProcessFigures(double cpuSeconds, long residentKilobytes) {
  /** The kernel's clock ticks a second, the same on all machines of today. */
  private static final double TICKS = 100;
  private static final int USER_TICKS = 11;

  static ProcessFigures of(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    String status = Files.readString(Path.of("/proc/" + pid + "/status"));
    return new ProcessFigures((Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[USER_TICKS + 1])) / TICKS,
        Long.parseLong(status.replaceAll("(?s).*VmRSS:\\s+([0-9]+).*", "$1")));
  }
}
