package lemondeal.module;

import lemondeal.Balancer.Move;

/** Sends open connections away from their server; each is told once. */
record ConnectionMover(NodeState node) {

  void move(RequestState request) {
    if (!request.moveSent) {
      request.moveSent = true;
      node.actions.add(new Move(request.details.id()));
    }
  }

  /** Sends all clients away from a server that answers neither them nor this node. */
  void moveAllFrom(Server server) {
    node.log(server, "silent: its clients move");
    for (RequestState request : server.openConnections) {
      move(request);
    }
  }
}
