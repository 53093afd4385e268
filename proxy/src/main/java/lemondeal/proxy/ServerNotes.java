package lemondeal.proxy;

import lemondeal.Balancer.LoadChanged;
import lemondeal.Balancer.MessageDelay;
import lemondeal.codec.ServerLine;
import lemondeal.net.Link;

/** What one standing connection tells the module of its server: its load, its delays and its silence. */
final class ServerNotes {
  private final Context context;
  private final String id;
  private final Execution execution;
  private final Unanswered unanswered;

  /** {@code silent} is run when the server has left a line unanswered for too long. */
  ServerNotes(Context context, Link client, String id, Execution execution, Runnable silent) {
    this.context = context;
    this.id = id;
    this.execution = execution;
    unanswered = new Unanswered(context, client, this::waiting, silent);
  }

  void clientLine() {
    unanswered.lineSent();
  }

  void serverLine(ServerLine line) {
    if (line.kind() == ServerLine.Kind.LOAD) {
      load(line.number());
    } else {
      answer();
    }
  }

  private void answer() {
    long took = unanswered.lineCame();
    if (took >= 0) {
      context.delays().measured(context.now(), id, execution.number(), execution.server(), took);
    }
  }

  private void waiting(long micros) {
    context.delays().waiting(context.now(), id, execution.number(), execution.server(), micros);
  }

  /**
   * Guards against a server's delay being taken for a connection's load: both come as LOAD, and the settings
   * say which of the two servers tell. The answer to a client's line comes at once even from a slow server,
   * so that this is where its delay shows.
   */
  private void load(double figure) {
    if (!(figure >= 0)) {
      return;
    }
    context.decisions().tell(context.config().loadIsDelay()
        ? new MessageDelay(id, execution.number(), execution.server(), figure)
        : new LoadChanged(id, execution.number(), execution.server(), figure));
  }

  void stop() {
    unanswered.stop();
  }
}
