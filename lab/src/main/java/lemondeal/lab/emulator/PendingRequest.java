package lemondeal.lab.emulator;

/** A request at a proxy, from its arrival to its final answer or to the end of its connection. */
final class PendingRequest {

  /** One attempt, until the module has received its outcome. */
  static final class Attempt {
    final int number;
    final Server server;
    final long startTime;
    boolean ended;
    EventScheduler.ScheduledEvent timeoutTimer;
    Server.JobHandle setUpJob;

    Attempt(int number, Server server, long startTime) {
      this.number = number;
      this.server = server;
      this.startTime = startTime;
    }
  }

  final Client client;
  final String id;
  final long deadline;
  final long arrivalTime;
  int attemptCount;
  Attempt currentAttempt;
  boolean answered;
  Connection connection;
  EventScheduler.ScheduledEvent overdueTimer;

  PendingRequest(Client client, String id, long deadline, long arrivalTime) {
    this.client = client;
    this.id = id;
    this.deadline = deadline;
    this.arrivalTime = arrivalTime;
  }
}
