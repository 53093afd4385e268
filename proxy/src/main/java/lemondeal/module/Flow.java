package lemondeal.module;

import static lemondeal.module.Rendezvous.hash;

import java.util.*;
import lemondeal.Balancer.*;

/** One request, from its arrival to its final answer or its connection's end; which repeats it allows. */
final class Flow {
  final Request request;
  final RequestClass type; // null for a class that this node was never told of
  final long groupHash;
  final long clientHash;
  final double load; // that it usually asks for, by its hint; 0 without one
  final List<Server> tried = new ArrayList<>(2);
  boolean outstanding;
  boolean established;
  Server bound; // of the first attempt that may have run or is out: binds later ones
  long boundAt; // when that was sent
  boolean mayHaveRun;
  int probes;
  boolean queued;
  long wake; // token of its newest wake-up
  boolean moving;
  boolean gone; // the client has left; only the outcome of the attempt that is out is awaited

  Flow(Request request, Settings settings) {
    this.request = request;
    this.load = request.cost() > 0 && request.cost() < Double.POSITIVE_INFINITY ? request.cost() : 0;
    int c = request.requestClass();
    this.type = c >= 0 && c < settings.classes().size() ? settings.classes().get(c) : null;
    String key = settings.sharedGroups() && request.group() != null ? request.group() : request.key();
    this.groupHash = hash(key != null ? key : request.id());
    this.clientHash = hash(request.key() != null ? request.key() : request.id());
  }

  /** An attempt begins there, or began before this node did. */
  void sent(Server s, long now) {
    tried.add(s);
    s.ownLoad += load;
    outstanding = true;
    if (!mayHaveRun) {
      bound = s;
      boundAt = now;
    }
  }

  /** The server of its latest attempt. */
  Server server() {
    return tried.get(tried.size() - 1);
  }

  /** Its client's place among a server's: shares are cut by it, so that who comes again finds the same. */
  double clientPoint(Server s) {
    return Rendezvous.unit(Rendezvous.mix(clientHash + s.hash));
  }

  private Effect effect() {
    return type == null ? Effect.UNSAFE : type.effect();
  }

  /** Guards the rule that no effect happens twice: for how long a server may still get the next attempt. */
  long mayRepeatFor(long now) {
    return !mayHaveRun || effect() == Effect.SAFE ? Long.MAX_VALUE
        : effect() == Effect.KEYED ? boundAt + type.repeatWindow() - now : 0;
  }

  /** A refusal promises that trying again is harmless. */
  boolean mayRefuse() {
    return !mayHaveRun || effect() == Effect.SAFE
        || (effect() == Effect.KEYED && type.scope() == RepeatScope.ALL);
  }

  /** A keyed request that may have run goes only to servers that drop its repeats. */
  boolean repeatsDropped(Server s) {
    return !mayHaveRun || effect() != Effect.KEYED || type.scope() == RepeatScope.ALL
        || (s.zone == bound.zone && (type.scope() == RepeatScope.ZONE || s.cell == bound.cell));
  }
}
