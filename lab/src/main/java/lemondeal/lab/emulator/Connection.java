package lemondeal.lab.emulator;

/** A client's connection through a proxy to a server, from its {@code UP} to its end. */
final class Connection {
  private final Client client;
  private final String request;
  private final ProxyNode proxy;
  private final Server server;
  private final int attempt;
  private double load;
  private boolean over;

  Connection(Client client, String request, ProxyNode proxy, Server server, int attempt, double load) {
    this.client = client;
    this.request = request;
    this.proxy = proxy;
    this.server = server;
    this.attempt = attempt;
    this.load = load;
  }

  Client client() {
    return client;
  }

  String request() {
    return request;
  }

  ProxyNode proxy() {
    return proxy;
  }

  Server server() {
    return server;
  }

  int attempt() {
    return attempt;
  }

  /** Microseconds of work a second. */
  double load() {
    return load;
  }

  int group() {
    return client.group();
  }

  void swingTo(double fresh) {
    server.swing(fresh - load);
    load = fresh;
  }

  boolean isOver() {
    return over;
  }

  void end() {
    over = true;
    server.remove(this);
  }
}
