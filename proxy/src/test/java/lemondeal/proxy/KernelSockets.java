package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** The kernel's TCP socket tables, by which a test sees that bytes or connections have reached the kernel. */
final class KernelSockets {
  private static final long TIMEOUT_NANOS = 10_000_000_000L;
  private static final int ESTABLISHED = 1;
  private static final int LISTENING = 10;

  /** One socket, by the ports of its ends. */
  private record Row(int local, int remote, int state, int unread) {}

  private KernelSockets() {}

  /** Unread bytes in the socket between these ports; 0 if there is no such socket. */
  static int unreadBytes(int local, int remote) {
    return rows().stream().filter(row -> row.local == local && row.remote == remote && row.state != LISTENING)
        .mapToInt(Row::unread).sum();
  }

  /** Whether the socket between these ports is established: neither side has closed its output. */
  static boolean isEstablished(int local, int remote) {
    return rows().stream().anyMatch(row -> row.local == local && row.remote == remote && row.state == ESTABLISHED);
  }

  /** Connections in the accept queue of this port. */
  static int backlog(int port) {
    return rows().stream().filter(row -> row.local == port && row.state == LISTENING).mapToInt(Row::unread).sum();
  }

  /** Returns once the condition holds. The kernel offers no notification for these states, so this polls. */
  static void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, "timed out before the kernel reached the expected state");
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

  /** Parses a line: number, local and remote address, state, bytes in the send and receive queues, and other fields. */
  private static Row row(String line) {
    String[] fields = line.trim().split("\\s+");
    return new Row(port(fields[1]), port(fields[2]), Integer.parseInt(fields[3], 16),
        Integer.parseInt(fields[4].substring(fields[4].indexOf(':') + 1), 16));
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), 16);
  }
}
