package lemondeal.lab.emulator;

/** A request at a proxy from its arrival to its final answer, or the end of its connection. */
final class PendingRequest {

  /** One attempt, until the module has been told how it ended. */
  static final class Attempt {
    final int number;
    final Server server;
    final long began;
    boolean over;
    Agenda.Entry timeout;
    Server.Cancel job;

    Attempt(int number, Server server, long began) {
      this.number = number;
      this.server = server;
      this.began = began;
    }
  }

  final Client client;
  final String id;
  final long due;
  final long arrived;
  int attempts;
  Attempt out;
  boolean answered;
  Connection connection;
  Agenda.Entry overdue;

  PendingRequest(Client client, String id, long due, long arrived) {
    this.client = client;
    this.id = id;
    this.due = due;
    this.arrived = arrived;
  }
}
