package lemondeal.module;

import lemondeal.Balancer.Move;

/** Sends open connections away from their server; each is told once. */
record Moves(Node node) {

  void move(Flow flow) {
    if (!flow.moving) {
      flow.moving = true;
      node.out.add(new Move(flow.request.id()));
    }
  }

  /** Sends all clients away from a server that answers neither them nor this node. */
  void abandon(Server s) {
    node.log(s, "silent: its clients move");
    for (Flow flow : s.open) {
      move(flow);
    }
  }
}
