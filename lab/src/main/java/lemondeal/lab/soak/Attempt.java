package lemondeal.lab.soak;

/** One attempt of a request, as the server that received it saw it. Times are of {@link System#nanoTime}. */
final class Attempt {
  final ServerIdentity server;
  final int proxy;
  final long receivedAt;
  /** Whether it came through a relay, which may delay, reset or cut it: its times and end are not the proxy's alone. */
  final boolean relayed;
  /** Whether the server may have executed it; false only for requests that it refused. */
  volatile boolean mayHaveRun = true;
  /** Whether the server would notice that the proxy closes this connection. */
  volatile boolean closeDetectable = true;
  /** When the connection ended, or 0. */
  volatile long endedAt;
  /** Whether the server ended it, or stopped answering on it, before the proxy did. */
  volatile boolean abandonedByServer;
  /** When the server stopped serving it, or 0. */
  volatile long abandonedAt;
  volatile String receipt;

  Attempt(ServerIdentity server, int proxy, long receivedAt, boolean relayed) {
    this.server = server;
    this.proxy = proxy;
    this.receivedAt = receivedAt;
    this.relayed = relayed;
    closeDetectable = !relayed;
  }

  /** Records that the server no longer serves this connection, for whatever reason. */
  void markAbandoned() {
    if (abandonedAt == 0) {
      abandonedAt = System.nanoTime();
      abandonedByServer = true;
    }
  }

  void markEnded() {
    if (endedAt == 0) {
      endedAt = System.nanoTime();
    }
  }
}
