package lemondeal.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.CloseIdle;
import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Log;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.TellPeer;
import lemondeal.Balancer.WakeAfter;
import lemondeal.Balancer.WeightMeaning;
import lemondeal.ScriptedBalancer;
import lemondeal.module.DecisionModule;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/** Reads and writes every message of the wire protocol, and checks the errors on invalid input. */
class WireTest {
  private static final String SETTINGS = """
      {"balancers":3,"slotNo":2,"locality":1,"membershipMode":"subscribe","weightSource":"rough",
      "worthBy":"work","overShareWorth":0.1,"unknown":{"deep":[1,{"a":null}]},
      "loadReport":{"columns":["x0"],"via":"on_probe"},
      "familyInfo":{"groups":true,"mode":"pass","messageAim":[150000.0]},
      "permissions":{"tryLimit":6,"cancelling":true,"mayProbe":true,"maxRetryAfter":1500000},
      "prices":{"crossZone":0.01,"moves":0.02},
      "profiles":[{"aim":500000,"dedupWindow":5000000,"gain":3.0,"group":"cell","hardLimit":3000000,
      "name":"x","semantics":"deduplicated"},{"semantics":"at_most_once"}],
      "rules":{"answerSlack":20000,"askEvery":10000000,"coldFrom":0.32,"drainGrace":1000000,
      "fallMultiple":4.0,"overloadFor":1500000,"warmWithin":8800000},
      "tenants":[{"name":"t","portion":0.5,"quotaPerS":2.0}]}""".replace("\n", "");

  private record Run(int code, String out, String err) {}

  private static Run run(Supplier<Balancer> moduleFactory, String... lines) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    String input = String.join("\n", lines) + "\n";
    try {
      int code = new SimulatorHost(moduleFactory).run(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
          out, new PrintStream(err, true, StandardCharsets.UTF_8));
      return new Run(code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static String batch(long time, String... events) {
    return "{\"time\":" + time + ",\"input\":[" + String.join(",", events) + "]}";
  }

  private static String enlist(String instance) {
    return "[\"ENLIST\",\"" + instance + "\",77," + SETTINGS + "]";
  }

  private static Event read(String event) {
    return WireReader.read(batch(5, event)).events().get(0).event();
  }

  // ---- Reading

  @Test
  void settingsAreReadAndUnknownKeysIgnored() {
    Start start = (Start) read(enlist("node/2"));
    Settings settings = start.settings();
    assertEquals(77, start.seed());
    assertEquals(2, settings.nodeIndex());
    assertEquals(3, settings.nodeCount());
    assertEquals(1, settings.zone());
    assertTrue(settings.mustSubscribe() && settings.groupsShareWork() && settings.passThrough()
        && settings.probesReportLoad());
    assertEquals(WeightMeaning.ROUGH, settings.weightMeaning());
    assertEquals(Idempotency.KEYED, settings.classes().get(0).idempotency());
    assertEquals(DedupScope.CELL, settings.classes().get(0).dedupScope());
    assertEquals(150_000, settings.classes().get(0).messageLatencyTarget());
    assertEquals(Idempotency.UNSAFE, settings.classes().get(1).idempotency());
    assertEquals(0, settings.classes().get(1).messageLatencyTarget());
    assertEquals(new Balancer.Rules(20_000, 1_000_000, 4, 1_500_000, 0.32, 8_800_000, 10_000_000), settings.rules());
    assertFalse(settings.limits().mayMessagePeers());
    assertEquals(6, settings.limits().maxAttempts());
  }

  @Test
  void emptySettingsAreTakenToo() {
    assertEquals(List.of(), ((Start) read("[\"ENLIST\",\"n\",1,{}]")).settings().classes());
  }

  @Test
  void listsOfEveryKindAreRead() {
    String entry = "[1,4,6100000,2,\"L\",1.5,\"10.0.0.1:80\",\"more\"],[0,0,null,0,\"U\",null,\"b\"],"
        + "[0,0,0,0,\"D\",1,\"c\"]";
    ServerList list = (ServerList) read("[\"FLEET\",\"n\",41,\"Persisted\",[" + entry + "],9]");
    assertEquals(ListKind.SAVED, list.kind());
    assertEquals(new ServerEntry("10.0.0.1:80", 1, 4, 2, 6_100_000, ServerState.DRAINING, 1.5),
        list.entries().get(0));
    assertEquals(0, list.entries().get(1).startedAt());
    assertTrue(Double.isNaN(list.entries().get(1).weight()));
    assertEquals(ServerState.GONE, list.entries().get(2).state());
    assertEquals(ListKind.CHANGES, ((ServerList) read("[\"FLEET\",\"n\",1,\"Partial\",[]]")).kind());
    assertEquals(ListKind.FULL, ((ServerList) read("[\"FLEET\",\"n\",1,\"Complete\",[]]")).kind());
    assertEquals(ListKind.FAILED, ((ServerList) read("[\"FLEET\",\"n\",1,\"Error\",null]")).kind());
    assertEquals(ListKind.FAILED, ((ServerList) read("[\"FLEET\",\"n\",1,\"Error\"]")).kind());
  }

  @Test
  void requestsAreRead() {
    assertEquals(new Request("r", 8, 1, "k", "g", 12_000, true, false, 2, true), ((Arrived) read(
        "[\"NEW_REQUEST\",\"n\",\"r\",8,1,\"k\",\"g\",12000,true,false,2,true]")).request());
    Request bare = ((Arrived) read("[\"NEW_REQUEST\",\"n\",\"r\",8]")).request();
    assertNull(bare.key());
    assertNull(bare.group());
    assertTrue(Double.isNaN(bare.cost()));
    assertEquals(new Balancer.Adopted(new Request("r", 8, 1, "k", "g", 5, false, true, 2, false), "h"), read(
        "[\"ALREADY_OPEN\",\"n\",\"r\",1,2,\"k\",8,5,\"g\",false,false,true,\"h\"]"));
  }

  @Test
  void everyOutcomeIsRead() {
    String[] codes = {"GOOD", "BAD", "FULL", "LATE", "NOCONN", "RST", "CXL", "NOP"};
    Outcome[] outcomes = {Outcome.SERVED, Outcome.ERROR, Outcome.REFUSED, Outcome.TIMED_OUT,
        Outcome.NO_CONNECTION, Outcome.RESET, Outcome.CANCELLED, Outcome.NOT_SENT};
    for (int i = 0; i < codes.length; i++) {
      assertEquals(new Ended("r", 2, "h", outcomes[i], 18_500, true, null),
          read("[\"SETTLED\",\"n\",\"r\",2,\"h\",\"" + codes[i] + "\",18500,true,null]"));
    }
    Ended ended = (Ended) read("[\"SETTLED\",\"n\",\"r\",0,\"h\",\"GOOD\",1,false,{\"x0\":0.5,\"new\":1}]");
    assertEquals(0.5, ended.report().demand());
    assertTrue(Double.isNaN(ended.report().backlogSeconds()));
  }

  @Test
  void theOtherEventsAreRead() {
    assertEquals(new Balancer.Established("r", 1, "h", 9_250),
        read("[\"ACCEPTED\",\"n\",\"r\",1,\"h\",9250]"));
    assertEquals(new Balancer.Wake(Long.MAX_VALUE), read("[\"REMINDER\",\"n\",9223372036854775807]"));
    assertEquals(new Balancer.LoadChanged("r", 0, "h", 0.5), read("[\"NOTE\",\"n\",\"r\",0,\"h\",1,0.5]"));
    assertEquals(new Balancer.MessageDelay("r", 0, "h", 60), read("[\"NOTE\",\"n\",\"r\",0,\"h\",2,60]"));
    assertEquals(new Balancer.PeerMessage(2, "hi é"), read("[\"FROM_PEER\",\"n\",2,\"hi \\u00e9\"]"));
    assertEquals(new ProbeResult("h", Outcome.TIMED_OUT, 1_400, null),
        read("[\"SAMPLED\",\"n\",\"LATE\",\"h\",1400,null]"));
    assertEquals(new Balancer.ClientGone("r"), read("[\"EXPIRED\",\"n\",\"r\"]"));
    assertNull(read("[\"KILL\",\"n\"]"));
  }

  // ---- Writing

  @Test
  void everyActionIsWritten() throws IOException {
    WireWriter out = new WireWriter();
    Action[] actions = {new Send("r", "h", 80_000), new Refuse("r", 250_000), new Fail("r"),
      new CancelAttempt("r", 1), new Move("r"), new Probe("h"), new CloseIdle("h"),
      new TellPeer(-1, "say \"é\""), new WakeAfter(5, 77), new Subscribe(true), new FetchList(),
      new Log("two servers")};
    for (Action action : actions) {
      out.write("n", action);
    }
    out.bailOut("n", "broken");
    assertEquals("{\"decisions\":[[\"RELAY\",\"n\",\"r\",80000,\"h\"],"
        + "[\"OVERLOAD_REPLY\",\"n\",\"r\",250000],"
        + "[\"RESPOND_ERROR\",\"n\",\"r\"],[\"ABORT_ATTEMPT\",\"n\",\"r\",1],[\"RELOCATE\",\"n\",\"r\"],"
        + "[\"PROBE\",\"n\",\"h\"],[\"SHUT_IDLE\",\"n\",\"h\"],[\"WRITE_PEER\",\"n\",-1,\"say \\\"é\\\"\"],"
        + "[\"TIMER\",\"n\",5,77],[\"FOLLOW\",\"n\",true],[\"LOOKUP\",\"n\"],"
        + "[\"RECORD\",\"n\",\"two servers\"],"
        + "[\"BAIL_OUT\",\"n\",\"broken\"]]}\n", new String(out.finish(), StandardCharsets.UTF_8));
  }

  // ---- Hosting

  @Test
  void emptyBatchesAreAnswered() {
    Run run = run(DecisionModule::new, "{\"time\":1,\"input\":[]}", "{\"input\":[],\"time\":2,\"new\":{}}");
    assertEquals("{\"decisions\":[]}\n{\"decisions\":[]}\n", run.out);
    assertEquals(0, run.code);
  }

  @Test
  void anInstanceMayStopAndStartInOneBatch() {
    List<Event> received = new ArrayList<>();
    Run run = run(() -> new ScriptedBalancer(event -> {
      received.add(event);
      return List.of();
    }), batch(1, enlist("n")), batch(2, "[\"KILL\",\"n\"]", enlist("n"), "[\"REMINDER\",\"n\",3]"));
    assertEquals(0, run.code);
    assertEquals(3, received.size());
  }

  @Test
  void anExceptionInTheModuleIsReportedAsSuch() {
    Run run = run(() -> new ScriptedBalancer(event -> {
      throw new IllegalStateException("oh");
    }), batch(1, enlist("n")));
    assertTrue(run.out.contains("[\"BAIL_OUT\",\"n\",\"java.lang.IllegalStateException: oh"), run.out);
    assertEquals(0, run.code);
  }

  @Test
  void actionsDoNotDependOnHowInstancesAreSpread() {
    String list = "[[0,0,0,0,\"U\",1,\"a\"],[0,0,0,0,\"U\",2,\"b\"]]";
    String[] both = new String[22];
    String[] one = new String[22];
    both[0] = batch(1, enlist("n/0"), enlist("n/1"));
    one[0] = batch(1, enlist("n/1"));
    both[1] = batch(2, "[\"FLEET\",\"n/0\",1,\"Persisted\"," + list + "]",
        "[\"FLEET\",\"n/1\",1,\"Persisted\"," + list + "]");
    one[1] = batch(2, "[\"FLEET\",\"n/1\",1,\"Persisted\"," + list + "]");
    for (int i = 2; i < both.length; i++) {
      String request = "[\"NEW_REQUEST\",\"n/%d\",\"r" + i + "\",9000000,0,\"k" + i + "\",\"g" + i + "\"]";
      both[i] = batch(i, request.formatted(0), request.formatted(1));
      one[i] = batch(i, request.formatted(1));
    }
    assertEquals(actionsOf("n/1", run(DecisionModule::new, both).out),
        actionsOf("n/1", run(DecisionModule::new, one).out));
    assertTrue(run(DecisionModule::new, one).out.contains("PROBE"));
  }

  private static List<String> actionsOf(String instance, String out) {
    List<String> found = new ArrayList<>();
    java.util.regex.Matcher matcher = java.util.regex.Pattern.compile("\\[\"[A-Z_]+\",\"" + instance + "\"[^]]*]")
        .matcher(out);
    while (matcher.find()) {
      found.add(matcher.group());
    }
    return found;
  }

  // ---- Bad input

  @Test
  void badInputEndsWithOneErrorLineAndNoPartialReply() {
    String[][] cases = {
      {"not json", "not JSON"},
      {"{\"time\":1,\"input\":[", "not JSON"},
      {"[1]", "a batch should be an object"},
      {"{\"time\":1}", "input is missing"},
      {"{\"input\":[]}", "time is missing"},
      {"{\"time\":\"x\",\"input\":[]}", "time should be a whole number"},
      {"{\"time\":1,\"input\":{}}", "input should be an array"},
      {"{\"time\":1,\"input\":[]} {}", "unexpected data after the batch"},
      {batch(1, "7"), "an event should be an array"},
      {batch(1, "[\"NONSENSE\",\"n\"]"), "unknown event NONSENSE"},
      {batch(1, "[\"REMINDER\",\"n\"]"), "REMINDER: nonce is missing"},
      {batch(1, "[\"REMINDER\",\"n\",\"x\"]"), "REMINDER: nonce should be a whole number"},
      {batch(1, "[\"SETTLED\",\"n\",\"r\",0,\"h\",\"FINE\",1,true]"), "unknown outcome FINE"},
      {batch(1, "[\"FLEET\",\"n\",1,\"Half\",[]]"), "unknown kind Half"},
      {batch(1, "[\"FLEET\",\"n\",1,\"Complete\",[[0,0,0,0,\"Z\",1,\"h\"]]]"), "unknown stageState Z"},
      {batch(1, "[\"FLEET\",\"n\",1,\"Complete\",[7]]"), "entry should be an array"},
      {batch(1, "[\"NOTE\",\"n\",\"r\",0,\"h\",9,1]"), "unknown sort 9"},
      {batch(1, "[\"ENLIST\",\"n\",1]"), "settings is missing"},
      {batch(1, "[\"ENLIST\",\"n\",1,{\"balancers\":\"many\"}]"), "balancers should be a number"},
      {batch(1, "[\"REMINDER\",\"n\",1]"), "has not started"},
    };
    for (String[] badCase : cases) {
      Run run = run(DecisionModule::new, "{\"time\":1,\"input\":[]}", badCase[0]);
      assertEquals(1, run.code, badCase[0]);
      assertEquals("{\"decisions\":[]}\n", run.out, badCase[0]);
      assertTrue(run.err.startsWith("lemondeal: line 2: ") && run.err.contains(badCase[1]), run.err);
      assertEquals(1, run.err.lines().count(), run.err);
    }
  }
}
