package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondeal.Balancer.Request;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.LoadReport;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.Unanswered;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each exception from plain rendezvous placement: when it applies, and its bound. */
class PlacementExceptionsTest {

  // ---- Health

  @Test
  void anUnreachableServerIsEjectedAndTriedAgainLater() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = node.arrive("a", "c", "g");
    node.end("a", 0, server, Outcome.NO_CONNECTION);
    assertNotEquals(server, node.open("b", "c", "g"));
    node.advance(3 * NodeFixture.SECOND);
    assertEquals(server, node.open("d", "c", "g"));
  }

  @Test
  void repeatedFailuresLengthenTheEjectionUpToABound() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = null;
    for (int i = 0; i < 12; i++) {
      String id = "a" + i;
      server = node.arrive(id, "c", "g");
      node.end(id, 0, server, Outcome.NO_CONNECTION);
      node.advance(20 * NodeFixture.SECOND);
    }
    assertEquals(server, node.open("b", "c", "g"), "it is tried again after the longest ejection");
  }

  @Test
  void aRestartResetsTheServersHealth() {
    NodeFixture node = new NodeFixture().equalServers(2);
    String server = node.arrive("a", "c", "g");
    node.end("a", 0, server, Outcome.NO_CONNECTION);
    node.listChanges(NodeFixture.serverStartedAt(server, node.now - 20 * NodeFixture.SECOND));
    assertEquals(server, node.open("b", "c", "g"));
  }

  @Test
  void connectionsLostTogetherEjectTheServer() {
    NodeFixture node = new NodeFixture().equalServers(4);
    String server = null;
    for (int i = 0; i < 4; i++) {
      server = node.open("r" + i, "c" + i, "g");
    }
    for (int i = 0; i < 4; i++) {
      node.handle(new Ended("r" + i, 0, server, Outcome.RESET, 1, true, null));
    }
    assertNotEquals(server, node.open("b", "c", "g"));
  }

  /** Connects two clients to one server, which is returned. */
  private static String openTwo(NodeFixture node) {
    String server = node.open("a", "c", "g");
    assertEquals(server, node.open("b", "c", "g"));
    return server;
  }

  /** A proxy with two clients at an unreachable server once noticed that only when the connections were reset. */
  @Test
  void clientsMoveFromAServerThatAnswersNeitherThemNorAProbe() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(4);
    for (int i = 0; i < 4; i++) {
      node.handle(new ProbeResult("s" + i, Outcome.SERVED, 1_000, report(0.1)));
    }
    String server = openTwo(node);
    List<Action> probes = node.handle(new Unanswered("a", 0, server));
    assertEquals(List.of(new Probe(server)), probes, "one unanswered line causes a probe, no move");
    assertEquals(List.of(), node.handle(new Unanswered("b", 0, server)), "the probe is in flight");
    List<Action> actions = node.handle(new ProbeResult(server, Outcome.NO_CONNECTION, 150_000, null));
    assertEquals(List.of(new Move("a"), new Move("b")), NodeFixture.ofType(actions, Move.class));
    assertNotEquals(server, node.arrive("d", "c", "g"));
  }

  @Test
  void clientsStayAtAServerThatAnswersTheProbe() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(1);
    node.handle(new ProbeResult("s0", Outcome.SERVED, 1_000, report(0.1)));
    openTwo(node);
    node.handle(new Unanswered("a", 0, "s0"));
    node.handle(new ProbeResult("s0", Outcome.SERVED, 1_000, report(0.1)));
    node.advance(NodeFixture.SECOND);
    // A set-up that fails now does not count together with a line unanswered before the probe's answer.
    String sent = node.arrive("d", "c", "g");
    assertEquals(List.of(), NodeFixture.ofType(node.end("d", 0, sent, Outcome.NO_CONNECTION), Move.class));
  }

  /** Without probes, a failed set-up counts like a failed probe. */
  @Test
  void clientsMoveFromAServerThatAnswersNeitherThemNorASetUp() {
    NodeFixture node = new NodeFixture().equalServers(4);
    String server = openTwo(node);
    assertEquals(List.of(), node.handle(new Unanswered("a", 0, server)));
    assertEquals(server, node.arrive("d", "c", "g"));
    List<Action> actions = node.end("d", 0, server, Outcome.NO_CONNECTION);
    assertEquals(List.of(new Move("a"), new Move("b")), NodeFixture.ofType(actions, Move.class));
    // The other way round: the set-up failed first.
    String other = node.open("e", "other", "other group");
    node.arrive("f", "other", "other group");
    node.end("f", 0, other, Outcome.TIMED_OUT);
    assertEquals(List.of(new Move("e")), NodeFixture.ofType(node.handle(new Unanswered("e", 0, other)), Move.class));
  }

  @Test
  void withAllServersEjectedThePlainRankingHolds() {
    NodeFixture node = new NodeFixture().equalServers(4);
    node.failAll(20, Outcome.NO_CONNECTION);
    String first = new NodeFixture().equalServers(4).arrive("x", "c", "g");
    assertEquals(first, node.arrive("y", "c", "g"), "with all ejected the plain ranking holds");
  }

  /**
   * Ejection was once suspended while most servers were ejected: requests spent all their attempts on a dead zone and a
   * failing server although others had capacity.
   */
  @Test
  void withMostServersEjectedTheOthersStillGoFirst() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String primary = new NodeFixture().equalServers(5).arrive("x", "c", "g");
    int ejected = 0;
    for (int i = 0; ejected < 3; i++) {
      String id = "f" + i;
      String server = new NodeFixture().equalServers(5).arrive(id);
      if (ejected > 0 || server.equals(primary)) {
        String sent = node.arrive(id);
        // One failure each for three servers, the primary first; the retry is served.
        String next = NodeFixture.sentTo(node.end(id, 0, sent, Outcome.NO_CONNECTION), id);
        node.handle(new Ended(id, 1, next, Outcome.CANCELLED, 1, true, null));
        ejected++;
      }
    }
    assertNotEquals(primary, node.arrive("y", "c", "g"));
  }

  /** A set-up of the group g fails at its first server, whose ejection then ends; the server is returned. */
  private static String ejectedAndHalfOpen(NodeFixture node) {
    String server = node.arrive("a", "c", "g");
    String next = NodeFixture.sentTo(node.end("a", 0, server, Outcome.TIMED_OUT), "a");
    node.handle(new Balancer.Established("a", 1, next, 5_000));
    node.advance(1_100_000);
    return server;
  }

  /** After an ejection, all keys of a server once returned at the same time and timed out there together. */
  @Test
  void aHalfOpenServerGetsOneSetUpAtATimeAndThenMore() {
    NodeFixture node = new NodeFixture().equalServers(3);
    String server = ejectedAndHalfOpen(node);
    int arrived = 0;
    // Each success doubles the number of set-ups allowed at once: 1, 2, 4.
    for (int permits : new int[] {1, 2, 4}) {
      for (int i = 0; i < permits; i++) {
        assertEquals(server, node.arrive("b" + (arrived + i), "c", "g"), "set-up " + i + " of " + permits);
      }
      String other = node.open("o" + arrived, "c", "g");
      assertNotNull(other, "further requests are not held");
      assertNotEquals(server, other, "no more than " + permits + " at once");
      node.handle(new Balancer.Established("b" + arrived, 0, server, 5_000));
      for (int i = 1; i < permits; i++) {
        // A cancelled set-up says nothing about the server: only the one success counts.
        node.handle(new Ended("b" + (arrived + i), 0, server, Outcome.CANCELLED, 1, true, null));
      }
      arrived += permits;
    }
  }

  @Test
  void aFailedSetUpKeepsTheServerHalfOpenWithOnePermit() {
    NodeFixture node = new NodeFixture().equalServers(3);
    String server = ejectedAndHalfOpen(node);
    assertEquals(server, node.arrive("b", "c", "g"));
    node.end("b", 0, server, Outcome.TIMED_OUT);
    node.advance(2_100_000);
    assertEquals(server, node.arrive("d", "c", "g"));
    assertNotEquals(server, node.open("e", "c", "g"));
  }

  /** With only half-open servers, requests beyond their permits still go by rank, so that none is stuck. */
  @Test
  void withAllServersHalfOpenNoRequestIsHeld() {
    NodeFixture node = new NodeFixture().equalServers(2);
    for (int i = 0; i < 2; i++) {
      String first = node.arrive("f" + i, "c" + i, "h" + i);
      String second = NodeFixture.sentTo(node.end("f" + i, 0, first, Outcome.NO_CONNECTION), "f" + i);
      node.end("f" + i, 1, second, Outcome.NO_CONNECTION);
    }
    node.advance(20 * NodeFixture.SECOND);
    for (int i = 0; i < 4; i++) {
      assertNotNull(node.arrive("r" + i, "d" + i, "k" + i));
    }
  }

  // ---- Bounded load

  /** Connects 200 clients of one group to one server, which is returned, and others so that all servers have some. */
  private static String openManyAtOne(NodeFixture node) {
    String server = null;
    for (int i = 0; i < 200; i++) {
      server = node.open("r" + i, "c" + i, "g");
    }
    for (int i = 0; i < 40; i++) {
      node.open("o" + i, "o" + i, "o" + i);
    }
    return server;
  }

  @Test
  void aSlowServerGetsNoNewClientsAndShedsAShare() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = openManyAtOne(node);
    List<Action> actions = node.messageDelay("r0", server, 150);
    int moves = NodeFixture.ofType(actions, Move.class).size();
    // One step sheds a tenth of the clients: five standard deviations of the binomial around 20.
    assertTrue(moves > 2 && moves < 42, moves + " moves");
    assertNotEquals(server, node.open("n", "n", "g"));
    assertTrue(node.messageDelay("r1", server, 150).isEmpty(), "no second step within the interval");
    assertEquals(1, NodeFixture.ofType(actions, Balancer.Log.class).size(), "it is logged for on-call staff");
  }

  @Test
  void shedClientsReturnOnceTheShareHasDecayed() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = node.open("a", "c", "g");
    node.open("o1", "o1", "o1");
    node.open("o2", "o2", "o2");
    node.open("o3", "o3", "o3");
    node.messageDelay("a", server, 60);
    node.advance(200 * NodeFixture.SECOND);
    assertEquals(server, node.open("b", "c", "g"));
  }

  /** A recovered server was once avoided for as long as one that had not recovered. */
  @Test
  void aRecoveredServerTakesClientsAtOnce() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = node.open("a", "c", "g");
    node.open("o1", "o1", "o1");
    node.messageDelay("a", server, 55);
    assertNotEquals(server, node.open("b", "d", "g"));
    node.messageDelay("a", server, 20);
    assertEquals(server, node.open("c", "e", "g"));
  }

  /** Messages that take seconds are useless: moving a fifth of the clients per step was far too slow. */
  @Test
  void aServerFarOverItsTargetShedsHalfAtOnce() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = openManyAtOne(node);
    int moves = NodeFixture.ofType(node.messageDelay("r0", server, 1_500), Move.class).size();
    assertTrue(moves > 65 && moves < 135, moves + " moves of 200");
  }

  /** On real sockets, notes sent once a second come a few milliseconds early or late. */
  @Test
  void aDelayNoteThatComesSlightlyEarlyCounts() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String server = openManyAtOne(node);
    int remaining = 200;
    for (int step = 0; step < 12; step++) {
      int moves = NodeFixture.ofType(node.messageDelay("r0", server, 2_000), Move.class).size();
      assertTrue(moves > 0 || remaining < 20, "a step moved no client, with " + remaining + " left");
      remaining -= moves;
      node.advance(NodeFixture.SECOND - 4_000);
    }
    assertTrue(remaining <= 0, remaining + " stay at a server that takes seconds");
  }

  @Test
  void invalidDelaysAreIgnored() {
    for (double millis : new double[] {Double.NaN, -5, Double.POSITIVE_INFINITY}) {
      NodeFixture node = new NodeFixture().equalServers(3);
      String server = node.open("a", "c", "g");
      assertTrue(node.messageDelay("a", server, millis).isEmpty());
      assertEquals(server, node.open("b", "c", "g"));
    }
  }

  @Test
  void inAnOverloadOfMostServersEveryNodeShedsTheSameGroups() {
    NodeFixture a = overloaded(1);
    NodeFixture b = overloaded(2);
    int shed = 0;
    for (int i = 0; i < 100; i++) {
      FirstAnswer first = refusedAtOnce(a, "g" + i);
      assertEquals(first.refused, refusedAtOnce(b, "g" + i).refused);
      shed += first.refused ? 1 : 0;
    }
    assertTrue(shed > 0 && shed < 60, shed + " of 100 groups shed after few steps");
    a.advance(100 * NodeFixture.SECOND);
    for (int i = 0; i < 100; i++) {
      assertTrue(!refusedAtOnce(a, "g" + i).refused, "the shed share decays");
    }
  }

  private record FirstAnswer(boolean refused) {}

  private static FirstAnswer refusedAtOnce(NodeFixture node, String group) {
    String id = "q" + node.allActions.size();
    List<Action> actions = node.handle(new Arrived(node.request(id, id, group)));
    return new FirstAnswer(!NodeFixture.ofType(actions, Refuse.class).isEmpty());
  }

  private static NodeFixture overloaded(long seed) {
    NodeFixture.Options options = new NodeFixture.Options();
    options.seed = seed;
    return overloaded(options);
  }

  private static NodeFixture overloaded(NodeFixture.Options options) {
    NodeFixture node = new NodeFixture(options).equalServers(3);
    delayAllServers(node);
    return node;
  }

  private static void delayAllServers(NodeFixture node) {
    String[] servers = new String[30];
    for (int i = 0; i < 30; i++) {
      servers[i] = node.open("r" + i, "c" + i, "h" + i);
    }
    for (int step = 0; step < 4; step++) {
      for (int i = 0; i < 30; i++) {
        node.messageDelay("r" + i, servers[i], 300);
      }
      node.advance(NodeFixture.SECOND);
    }
  }

  /** The shed share once outlasted the overload by seconds while servers reported free capacity. */
  @Test
  void shedGroupsAreAdmittedOnceNoServerIsSlowAndOneHasCapacity() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(3);
    for (int i = 0; i < 3; i++) {
      node.handle(new ProbeResult("s" + i, Outcome.SERVED, 1_000, report(0.1)));
    }
    delayAllServers(node);
    String shedGroup = null;
    for (int i = 0; shedGroup == null; i++) {
      shedGroup = refusedAtOnce(node, "g" + i).refused ? "g" + i : null;
    }
    node.advance(3 * NodeFixture.SECOND);
    assertEquals(List.of(), NodeFixture.ofType(node.handle(new Arrived(node.request("x", "x", shedGroup))), Refuse.class));
    List<Probe> probes = NodeFixture.ofType(node.allActions, Probe.class);
    String server = probes.get(probes.size() - 1).server();
    List<Action> full = node.handle(new ProbeResult(server, Outcome.SERVED, 1_000, report(0.9)));
    assertEquals(1, NodeFixture.ofType(full, Refuse.class).size(), "one server is probed, and it is full");
    node.advance(2 * NodeFixture.SECOND);
    node.handle(new Arrived(node.request("y", "x", shedGroup)));
    probes = NodeFixture.ofType(node.allActions, Probe.class);
    server = probes.get(probes.size() - 1).server();
    assertEquals(server,
        NodeFixture.sentTo(node.handle(new ProbeResult(server, Outcome.SERVED, 1_000, report(0.3))), "y"));
  }

  /** In a large fleet a proxy uses two or three servers: one slow one of them once counted as an overload of most. */
  @Test
  void oneSlowServerOfTheFewInUseIsNoOverloadOfMost() {
    NodeFixture node = new NodeFixture().equalServers(7);
    String server = node.open("a", "c", "g");
    node.messageDelay("a", server, 300);
    node.advance(NodeFixture.SECOND);
    node.messageDelay("a", server, 300);
    for (int i = 0; i < 50; i++) {
      assertTrue(!refusedAtOnce(node, "g" + i).refused, "no group is shed");
    }
  }

  /** Unreachable servers leave lines unanswered, too: with half a zone lost, groups were once shed at the others. */
  @Test
  void ejectedServersDoNotCountAsSlow() {
    NodeFixture node = new NodeFixture().equalServers(5);
    String[] servers = new String[40];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = node.open("r" + i, "c" + i, "h" + i);
    }
    for (int s = 0; s < 3; s++) {
      node.handle(new ProbeResult("s" + s, Outcome.NO_CONNECTION, 150_000, null));
    }
    for (int i = 0; i < servers.length; i++) {
      node.messageDelay("r" + i, servers[i], servers[i].compareTo("s3") < 0 ? 440 : 20);
    }
    for (int i = 0; i < 50; i++) {
      assertTrue(!refusedAtOnce(node, "g" + i).refused, "no group is shed");
    }
  }

  /** One small server far over its target once had two fifths of all groups shed, with the others slightly over. */
  @Test
  void oneServerFarOverItsTargetCausesNoLargeStep() {
    NodeFixture node = new NodeFixture().equalServers(3);
    String[] servers = new String[30];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = node.open("r" + i, "c" + i, "h" + i);
    }
    int moves = 0;
    for (int i = 0; i < servers.length; i++) {
      moves += NodeFixture.ofType(node.messageDelay("r" + i, servers[i], servers[i].equals("s0") ? 1_200 : 150),
          Move.class).size();
    }
    int shed = 0;
    for (int i = 0; i < 200; i++) {
      shed += refusedAtOnce(node, "g" + i).refused ? 1 : 0;
    }
    // A tenth, or two fifths by the large step: four standard deviations of the binomial lie between.
    assertTrue(shed > 0 && shed < 45, shed + " of 200 groups shed, " + moves + " moves");
  }

  @Test
  void theClassOfLowestWorthIsShedFirst() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.secondClassWorth = 9;
    NodeFixture node = overloaded(options);
    int[] shed = new int[2];
    for (int classIndex = 0; classIndex < 2; classIndex++) {
      for (int i = 0; i < 200; i++) {
        Balancer.Request request =
            new Balancer.Request("q" + classIndex + "-" + i, node.now + 3 * NodeFixture.SECOND, classIndex, "k" + i,
            "g" + i, Double.NaN, false, false, 0, false);
        shed[classIndex] += NodeFixture.ofType(node.handle(new Arrived(request)), Refuse.class).size();
      }
    }
    assertTrue(shed[0] > 2 * shed[1] && shed[1] > 0,
        shed[0] + " of the class of low worth, " + shed[1] + " of the other");
  }

  // ---- Locality

  @Test
  void serversOfTheLocalZoneGetMoreWhereCrossingCosts() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.nodeCount = 2;
    // Weights 1.5 and 1 at the price of the test's settings: 600 of 1000, four standard deviations.
    assertEquals(600, sentToLocalZone(new NodeFixture(options)), 62);
  }

  @Test
  void aSingleNodeDoesNotPreferItsZone() {
    assertEquals(500, sentToLocalZone(new NodeFixture()), 64);
  }

  private static int sentToLocalZone(NodeFixture node) {
    node.fullList(NodeFixture.server("near", 0, 0), NodeFixture.server("far", 1, 1));
    int near = 0;
    for (int i = 0; i < 1000; i++) {
      String id = "r" + i;
      String server = node.open(id, id, null);
      near += server.equals("near") ? 1 : 0;
      node.handle(new Ended(id, 0, server, Outcome.SERVED, 1, true, null));
    }
    return near;
  }

  // ---- Probes

  @Test
  void aFullServerIsFoundByAProbeBeforeTheClientIsPlaced() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(3);
    List<Action> actions = node.handle(new Arrived(node.request("r", "c", "g")));
    String probed = NodeFixture.ofType(actions, Probe.class).get(0).server();
    assertNull(NodeFixture.sentTo(actions, "r"));
    actions = node.handle(new ProbeResult(probed, Outcome.SERVED, 1_000, report(0.95)));
    String second = NodeFixture.ofType(actions, Probe.class).get(0).server();
    assertNotEquals(probed, second);
    actions = node.handle(new ProbeResult(second, Outcome.SERVED, 1_000, report(0.2)));
    assertEquals(second, NodeFixture.sentTo(actions, "r"));
  }

  @Test
  void anUnansweredProbeDelaysAClientOnlyBriefly() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(3);
    node.handle(new Arrived(node.request("r", "c", "g")));
    assertNotNull(NodeFixture.sentTo(node.advance(NodeFixture.SECOND), "r"));
  }

  /** An unanswered probe was once ignored: the client was sent to the server nevertheless. */
  @Test
  void aServerThatAnswersNoProbeIsSkipped() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(3);
    List<Action> actions = node.handle(new Arrived(node.request("r", "c", "g")));
    String probed = NodeFixture.ofType(actions, Probe.class).get(0).server();
    String second = NodeFixture.ofType(node.advance(NodeFixture.SECOND / 10), Probe.class).get(0).server();
    assertNotEquals(probed, second);
    node.handle(new ProbeResult(second, Outcome.SERVED, 1_000, report(0.2)));
    node.handle(new ProbeResult(probed, Outcome.TIMED_OUT, 200_000, null));
    actions = node.handle(new Arrived(node.request("s", "c", "g")));
    assertEquals(second, NodeFixture.sentTo(actions, "s"));
  }

  /** All of a burst once went to one server because of a report from before the burst. */
  @Test
  void sendsSinceTheReportCount() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(2);
    String first = NodeFixture.ofType(node.handle(new Arrived(node.request("r", "c", "g"))), Probe.class).get(0).server();
    node.handle(new ProbeResult(first, Outcome.SERVED, 1_000, report(0.5, 10)));
    String last = null;
    for (int i = 0; i < 4; i++) {
      last = node.arrive("r" + i, "c" + i, "g");
    }
    assertNotEquals(first, last, "0.5 and four connections of 0.05 each are over the limit");
  }

  /** Two servers, for 14 nodes: one with capacity for a few more, which is returned, one nearly full by its report. */
  private static String capacityAtOne(NodeFixture node) {
    String first = NodeFixture.ofType(node.handle(new Arrived(node.request("r", "c", "g"))), Probe.class).get(0).server();
    String other = first.equals("s0") ? "s1" : "s0";
    node.handle(new ProbeResult(other, Outcome.SERVED, 1_000, report(0.75, 25)));
    assertEquals(first,
        NodeFixture.sentTo(node.handle(new ProbeResult(first, Outcome.SERVED, 1_000, report(0.42, 22))), "r"));
    return first;
  }

  private static NodeFixture nodeOfALargeFleet() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    options.nodeCount = 14;
    return new NodeFixture(options).equalServers(2);
  }

  /**
   * The other nodes are assumed to send as much as this one, so that one send makes a server with capacity look full.
   * When the assumption was valid for as long as a report, a burst went to the server that reported to be nearly full.
   */
  @Test
  void aServerFullByAssumptionAloneIsProbedAgain() {
    NodeFixture node = nodeOfALargeFleet();
    String first = capacityAtOne(node);
    node.advance(400_000);
    List<Action> actions = node.handle(new Arrived(node.request("s", "c", "g")));
    assertEquals(List.of(new Probe(first)), NodeFixture.ofType(actions, Probe.class));
    actions = node.handle(new ProbeResult(first, Outcome.SERVED, 1_000, report(0.45, 24)));
    assertEquals(first, NodeFixture.sentTo(actions, "s"), "by its report it has capacity");
  }

  /** A server over its limit by assumption gets nothing, but only until it can be probed again. */
  @Test
  void aServerOverItsLimitByAssumptionGetsNothingUntilItsNextProbe() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    options.nodeCount = 14;
    NodeFixture node = new NodeFixture(options).equalServers(1);
    node.handle(new ProbeResult("s0", Outcome.SERVED, 1_000, report(0.42, 22)));
    node.advance(50_000);
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      sent += node.arrive("b" + i, "c" + i, "g" + i) != null ? 1 : 0;
    }
    assertEquals(3, sent, "0.42, plus 0.27 for a send of each node: over the limit at the third");
    List<Action> meanwhile = node.advance(200_000);
    assertEquals(List.of(), NodeFixture.ofType(meanwhile, Send.class), "the others are held");
    assertEquals(1, NodeFixture.ofType(node.advance(100_000), Probe.class).size(), "then it is probed again");
  }

  /** If all servers are full, one with a little free capacity comes before one with none. */
  @Test
  void amongFullServersTheOneWithMostFreeCapacityIsChosen() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mayProbe = true;
    NodeFixture node = new NodeFixture(options).equalServers(2);
    String first = NodeFixture.ofType(node.handle(new Arrived(node.request("r", "c", "g"))), Probe.class).get(0).server();
    List<Action> actions = node.handle(new ProbeResult(first, Outcome.SERVED, 1_000, report(0.99)));
    String second = NodeFixture.ofType(actions, Probe.class).get(0).server();
    actions = node.handle(new ProbeResult(second, Outcome.SERVED, 1_000, report(0.7)));
    assertEquals(second, NodeFixture.sentTo(actions, "r"));
  }

  @Test
  void invalidReportsAreIgnored() {
    for (double demand : new double[] {Double.NaN, -1, Double.POSITIVE_INFINITY}) {
      NodeFixture.Options options = new NodeFixture.Options();
      options.mayProbe = true;
      NodeFixture node = new NodeFixture(options).equalServers(1);
      node.handle(new Arrived(node.request("r", "c", "g")));
      node.handle(new ProbeResult("s0", Outcome.SERVED, 1_000, report(demand)));
      node.advance(NodeFixture.SECOND / 5);
      assertEquals(1, NodeFixture.ofType(node.allActions, Send.class).size());
    }
  }

  private static LoadReport report(double demand) {
    return report(demand, Double.NaN);
  }

  private static LoadReport report(double demand, double openConnections) {
    return new LoadReport(demand, Double.NaN, openConnections, Double.NaN, Double.NaN);
  }

  // ---- Set-up limit: no retry storm

  @Test
  void whileAllSetUpsFailANodeBacksOff() {
    NodeFixture node = new NodeFixture().equalServers(6);
    int sends = 0;
    for (int i = 0; i < 100; i++) {
      String id = "r" + i;
      String server = node.arrive(id);
      for (int attempt = 0; server != null; attempt++) {
        sends++;
        server = NodeFixture.sentTo(node.end(id, attempt, server, Outcome.ERROR), id);
      }
      node.advance(NodeFixture.SECOND / 100);
    }
    assertTrue(sends < 60, sends + " sends in a second in which every set-up failed");
  }

  @Test
  void aSetUpThatCannotEndInTimeIsNotStarted() {
    NodeFixture node = new NodeFixture().equalServers(6);
    for (int i = 0; i < 4; i++) {
      String server = node.arrive("slow" + i);
      node.handle(new Ended("slow" + i, 0, server, Outcome.TIMED_OUT, 2 * NodeFixture.SECOND, true, null));
    }
    node.advance(NodeFixture.SECOND / 4);
    Balancer.Request hasty = new Balancer.Request("hasty", node.now + NodeFixture.SECOND / 2, 0, "c", "g",
        Double.NaN, false, false, 0, false);
    node.handle(new Arrived(hasty));
    node.advance(NodeFixture.SECOND / 2);
    assertTrue(NodeFixture.ofType(node.allActions, Send.class).stream().noneMatch(a -> a.id().equals("hasty")));
    assertEquals(1,
        NodeFixture.ofType(node.allActions, Refuse.class).stream().filter(a -> a.id().equals("hasty")).count());
    node.advance(20 * NodeFixture.SECOND);
    assertNotNull(node.arrive("later"), "the time estimate decays");
  }

  // ---- The list

  @Test
  void aNodeSubscribesAndBacksOffAfterFailures() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mustSubscribe = true;
    NodeFixture node = new NodeFixture(options);
    assertEquals(1, NodeFixture.ofType(node.advance(5 * NodeFixture.SECOND), Subscribe.class).size());
    int calls = 0;
    for (int i = 0; i < 10; i++) {
      node.handle(new ServerList(0, Balancer.ListKind.FAILED, List.of()));
      calls += NodeFixture.ofType(node.advance(7 * NodeFixture.SECOND), Subscribe.class).size();
    }
    assertTrue(calls >= 10 && calls <= 20, calls + " calls after 10 failures: calls must not multiply");
    node.equalServers(2);
    assertTrue(NodeFixture.ofType(node.advance(60 * NodeFixture.SECOND), Subscribe.class).isEmpty());
  }

  @Test
  void anUnansweredSubscriptionIsRepeated() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mustSubscribe = true;
    NodeFixture node = new NodeFixture(options);
    int calls = NodeFixture.ofType(node.advance(100 * NodeFixture.SECOND), Subscribe.class).size();
    assertTrue(calls >= 10 && calls <= 21, calls + " calls in 100 s");
  }

  @Test
  void aFailedCallKeepsTheOldList() {
    NodeFixture.Options options = new NodeFixture.Options();
    options.mustSubscribe = true;
    NodeFixture node = new NodeFixture(options);
    node.handle(new ServerList(1, Balancer.ListKind.SAVED, List.of(NodeFixture.server("s0", 1))));
    node.handle(new ServerList(0, Balancer.ListKind.FAILED, List.of()));
    assertEquals("s0", node.arrive("r"));
  }

  // ---- Unknown requests and servers

  @Test
  void eventsAboutUnknownRequestsAndServersAreIgnored() {
    NodeFixture node = new NodeFixture().equalServers(2);
    node.end("nobody", 3, "nowhere", Outcome.RESET);
    node.messageDelay("nobody", "nowhere", 100);
    node.handle(new Balancer.Established("nobody", 0, "nowhere", 1));
    node.handle(new Balancer.Wake(987));
    node.handle(new Balancer.ClientGone("nobody"));
    node.handle(new Balancer.PeerMessage(77, "\u0000 what?"));
    node.handle(new Balancer.LoadChanged("nobody", 0, "nowhere", -1));
    node.handle(new ProbeResult("nowhere", Outcome.TIMED_OUT, 1, null));
    assertNotNull(node.arrive("r"));
  }

  /** A request that no server can take in time was once held until its deadline, and got no retry time. */
  @Test
  void aRequestThatNoServerCanTakeIsRefusedAtOnceWithARetryTime() {
    NodeFixture node = new NodeFixture().equalServers(2);
    for (int i = 0; i < 20; i++) {
      String server = node.open("open" + i, "key" + i, null);
      node.messageDelay("open" + i, server, 110);
    }
    for (int i = 0; i < 10; i++) {
      Request request = new Request("new" + i, node.now + NodeFixture.SECOND, 0, "other" + i, null, Double.NaN, false,
          false, 0, false);
      List<Action> actions = node.handle(new Arrived(request));
      assertEquals(List.of(new Refuse("new" + i, NodeFixture.SECOND)), actions);
    }
  }
}
