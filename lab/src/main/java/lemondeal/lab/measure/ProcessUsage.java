package lemondeal.lab.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** CPU time and resident memory of a process, read from {@code /proc} (Linux only). */
record ProcessUsage(double cpuSeconds, long residentKilobytes) {
  /** Clock ticks per second; 100 on all current Linux systems. */
  private static final double TICKS_PER_SECOND = 100;
  private static final int UTIME_FIELD = 11;

  static ProcessUsage of(long pid) throws IOException {
    String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    String status = Files.readString(Path.of("/proc/" + pid + "/status"));
    return new ProcessUsage(
        (Long.parseLong(fields[UTIME_FIELD]) + Long.parseLong(fields[UTIME_FIELD + 1])) / TICKS_PER_SECOND,
        Long.parseLong(status.replaceAll("(?s).*VmRSS:\\s+([0-9]+).*", "$1")));
  }
}
