package lemondeal.module;

import lemondeal.Balancer.Move;

/** Asks clients to move their open connections to another server, each at most once. */
record ConnectionMover(NodeState node) {

  void move(RequestState request) {
    if (!request.moveSent) {
      request.moveSent = true;
      node.actions.add(new Move(request.details.id()));
    }
  }

  /** Moves all clients from a server that answers neither them nor this node. */
  void moveAllFrom(Server server) {
    node.log(server, "unresponsive: moving its clients");
    for (RequestState request : server.openConnections) {
      move(request);
    }
  }
}
