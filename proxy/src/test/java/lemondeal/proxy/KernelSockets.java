package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** What the system tells of this machine's TCP sockets: so a test sees that an event is in the kernel already. */
final class KernelSockets {
  private static final long TIMEOUT_NANOS = 10_000_000_000L;
  private static final int ESTABLISHED = 1;
  private static final int LISTENING = 10;

  /** One socket, by the ports of its ends. */
  private record Row(int local, int remote, int state, int unread) {}

  private KernelSockets() {}

  /** Bytes that lie unread in the socket between these ports; 0 if there is none. */
  static int unreadBytes(int local, int remote) {
    return rows().stream().filter(row -> row.local == local && row.remote == remote && row.state != LISTENING)
        .mapToInt(Row::unread).sum();
  }

  /** Whether the socket between these ports has heard of no end of the other side's sending, and has none of its own. */
  static boolean isEstablished(int local, int remote) {
    return rows().stream().anyMatch(row -> row.local == local && row.remote == remote && row.state == ESTABLISHED);
  }

  /** Connections that wait to be accepted on this port. */
  static int backlog(int port) {
    return rows().stream().filter(row -> row.local == port && row.state == LISTENING).mapToInt(Row::unread).sum();
  }

  /** Returns once it holds. The system has no word for it that could be waited for, so it is asked again. */
  static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, "the event never reached the kernel");
      Thread.onSpinWait();
    }
  }

  private static List<Row> rows() {
    List<Row> rows = new ArrayList<>();
    try {
      for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
        Path path = Path.of(table);
        if (Files.exists(path)) {
          Files.readAllLines(path).stream().skip(1).map(KernelSockets::row).forEach(rows::add);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return rows;
  }

  /** The fields of a line: number, local and remote address, state, bytes to be sent and unread, and others. */
  private static Row row(String line) {
    String[] fields = line.trim().split("\\s+");
    return new Row(port(fields[1]), port(fields[2]), Integer.parseInt(fields[3], 16),
        Integer.parseInt(fields[4].substring(fields[4].indexOf(':') + 1), 16));
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), 16);
  }
}
