package lemondeal.lab.soak;

/** One first line that reached a server, as that server saw it. Times are of {@link System#nanoTime}. */
final class Attempt {
  final ServerIdentity server;
  final int proxy;
  final long receivedAt;
  /** Whether it came over a network that may hold, lose or cut it: its times and ends are not the proxy's alone then. */
  final boolean relayed;
  /** Whether the server may have acted on it: all but those that it turned away. */
  volatile boolean mayHaveRun = true;
  /** Whether the server would see the proxy end this connection. */
  volatile boolean closeDetectable = true;
  /** When the connection ended, or 0. */
  volatile long endedAt;
  /** Whether the server ended it, or stopped answering on it, before the proxy did. */
  volatile boolean abandonedByServer;
  /** When the server stopped to serve it, or 0. */
  volatile long abandonedAt;
  volatile String receipt;

  Attempt(ServerIdentity server, int proxy, long receivedAt, boolean relayed) {
    this.server = server;
    this.proxy = proxy;
    this.receivedAt = receivedAt;
    this.relayed = relayed;
    closeDetectable = !relayed;
  }

  /** The server serves this connection no more, in whatever way. */
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
