package lemondeal.lab.emulator;

/** A client's connection through a proxy to a server, from the server's {@code UP} to the connection's end. */
final class Connection {
  private final Client client;
  private final String requestId;
  private final ProxyNode proxy;
  private final Server server;
  private final int attemptNumber;
  private double load;
  private boolean ended;

  Connection(Client client, String requestId, ProxyNode proxy, Server server, int attemptNumber, double load) {
    this.client = client;
    this.requestId = requestId;
    this.proxy = proxy;
    this.server = server;
    this.attemptNumber = attemptNumber;
    this.load = load;
  }

  Client client() {
    return client;
  }

  String requestId() {
    return requestId;
  }

  ProxyNode proxy() {
    return proxy;
  }

  Server server() {
    return server;
  }

  int attemptNumber() {
    return attemptNumber;
  }

  /** Microseconds of work a second. */
  double load() {
    return load;
  }

  int group() {
    return client.group();
  }

  void setLoad(double newLoad) {
    server.changeLoad(newLoad - load);
    load = newLoad;
  }

  boolean isEnded() {
    return ended;
  }

  void end() {
    ended = true;
    server.removeConnection(this);
  }
}
