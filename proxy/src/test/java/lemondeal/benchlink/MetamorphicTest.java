package lemondeal.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.zip.GZIPInputStream;
import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Idempotency;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.DedupScope;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.RequestClass;
import lemondeal.Balancer.Rules;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.WakeAfter;
import lemondeal.ShuffledJson;
import lemondeal.module.DecisionModule;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Equivalent changes of a deployment must change no decision: decisions may not depend on names, on positions in the
 * settings' lists, on the order of keys, or on the time scale of one deployment.
 */
class MetamorphicTest {

  private interface EventChange {
    Event apply(Event event);
  }

  private static List<String> recordedDay() {
    List<String> lines = new ArrayList<>();
    try (BufferedReader in = new BufferedReader(new InputStreamReader(
        new GZIPInputStream(MetamorphicTest.class.getResourceAsStream("/recorded-day.jsonl.gz")),
        StandardCharsets.UTF_8))) {
      in.lines().forEach(lines::add);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
    return lines;
  }

  /** An instance and the outcomes of its own attempts: the recorded ones were made with other settings. */
  private static final class Instance {
    private final Balancer module = new DecisionModule();
    private final List<Action> decisions;
    private final Map<String, Send> established = new HashMap<>();
    private final Map<String, Integer> attempts = new HashMap<>();

    Instance(List<Action> decisions) {
      this.decisions = decisions;
    }

    void handle(long now, Event event) {
      for (Action action : module.on(now, event)) {
        decisions.add(action);
        if (action instanceof Send send) {
          finishAttempt(now, send);
        }
      }
    }

    /** One attempt in six fails, chosen by a hash of its number and its request alone. */
    private void finishAttempt(long now, Send send) {
      int attempt = attempts.merge(send.id(), 1, Integer::sum) - 1;
      if (Math.floorMod((send.id() + attempt).hashCode(), 6) == 0) {
        handle(now, new Ended(send.id(), attempt, send.server(), Outcome.ERROR, 2000, false, null));
      } else {
        established.put(send.id(), send);
        handle(now, new Established(send.id(), attempt, send.server(), 2000));
      }
    }

    /** Ends a connection as recorded, at the server that it has here. */
    void end(long now, Ended recorded) {
      Send send = established.remove(recorded.id());
      if (send != null) {
        handle(now, new Ended(send.id(), attempts.get(send.id()) - 1, send.server(), recorded.outcome(),
            recorded.elapsed(), true, null));
      }
    }
  }

  /** All decisions of the instances, in order, with each event changed before it is delivered. */
  private static List<Action> decisions(List<String> day, EventChange change) {
    Map<String, Instance> instances = new HashMap<>();
    List<Action> all = new ArrayList<>();
    for (String line : day) {
      WireReader.Batch batch = WireReader.read(line);
      for (WireReader.AddressedEvent addressed : batch.events()) {
        Event event = addressed.event();
        if (event instanceof Start) {
          instances.put(addressed.instance(), new Instance(all));
        }
        Instance instance = instances.get(addressed.instance());
        if (event instanceof Ended e) {
          instance.end(batch.time(), e);
        } else if (event != null && !(event instanceof Established)) {
          instance.handle(batch.time(), change.apply(event));
        }
      }
    }
    return all;
  }

  // ---- Names and positions -------------------------------------------------------------------

  /** Three different classes in place of the recorded one, and requests of all of them. */
  private static Event withThreeClasses(Event event) {
    if (event instanceof Start e) {
      RequestClass first = e.settings().classes().get(0);
      return new Start(e.seed(), withClasses(e.settings(), List.of(first,
          new RequestClass(Idempotency.UNSAFE, DedupScope.ALL, 0, first.latencyTarget() / 2, first.deadline() * 2, 3,
              first.messageLatencyTarget() * 3),
          new RequestClass(Idempotency.KEYED, DedupScope.ZONE, first.dedupWindow(), first.latencyTarget(),
              first.deadline(), 0.5, 0)),
          e.settings().zone()));
    }
    return mapRequest(event, r -> inClass(r, Math.floorMod(r.id().hashCode(), 3)));
  }

  private static Event mapRequest(Event event, UnaryOperator<Request> change) {
    if (event instanceof Arrived e) {
      return new Arrived(change.apply(e.request()));
    }
    return event instanceof Adopted e ? new Adopted(change.apply(e.request()), e.server()) : event;
  }

  private static Request inClass(Request r, int requestClass) {
    return new Request(r.id(), r.due(), requestClass, r.key(), r.group(), r.cost(), r.midFlow(), r.returned(),
        r.tenant(), r.clientRetry());
  }

  private static Settings withClasses(Settings s, List<RequestClass> classes, int zone) {
    return new Settings(s.nodeIndex(), s.nodeCount(), zone, classes, s.tenants(), s.rules(), s.limits(), s.prices(),
        s.weightMeaning(), s.mustSubscribe(), s.groupsShareWork(), s.passThrough(), s.probesReportLoad(),
        s.worthIsPerWork(), s.overShareWorth());
  }

  /** Classes, zones and machine models in another order throughout: their numbers must not matter. */
  private static Event permuted(Event event, int[] classes, int[] zones, int[] models) {
    if (event instanceof Start e) {
      RequestClass[] reordered = new RequestClass[classes.length];
      for (int c = 0; c < classes.length; c++) {
        reordered[classes[c]] = e.settings().classes().get(c);
      }
      return new Start(e.seed(), withClasses(e.settings(), List.of(reordered), zones[e.settings().zone()]));
    }
    if (event instanceof ServerList e) {
      return new ServerList(e.version(), e.kind(), e.entries().stream().map(s -> new ServerEntry(s.server(),
          zones[s.zone()], s.cell(), models[s.model()], s.startedAt(), s.state(), s.weight())).toList(), e.pool());
    }
    return mapRequest(event, r -> inClass(r, classes[r.requestClass()]));
  }

  private static int[] randomPermutation(int size, Random random) {
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      order.add(i);
    }
    Collections.shuffle(order, random);
    return order.stream().mapToInt(Integer::intValue).toArray();
  }

  @Property(tries = 6, seed = "27", shrinking = ShrinkingMode.OFF)
  void permutedClassesZonesAndModelsChangeNoDecision(@ForAll long seed) {
    Random random = new Random(seed);
    int[] classes = randomPermutation(3, random);
    int[] zones = randomPermutation(4, random);
    int[] models = randomPermutation(4, random);
    List<String> day = recordedDay();
    List<Action> plain = decisions(day, MetamorphicTest::withThreeClasses);
    long sends = plain.stream().filter(Send.class::isInstance).count();
    assertTrue(sends > 1000, sends + " sends: too few for the comparison");
    assertEquals(plain, decisions(day, event -> permuted(withThreeClasses(event), classes, zones, models)));
  }

  /** Shows that the test above can fail: the settings of a class do matter. */
  @Example
  void swappedClassSettingsDoChangeDecisions() {
    List<String> day = recordedDay();
    assertNotEquals(decisions(day, MetamorphicTest::withThreeClasses), decisions(day, event -> event instanceof Start
        ? permuted(withThreeClasses(event), new int[] {2, 0, 1}, new int[] {0, 1, 2, 3}, new int[4])
        : withThreeClasses(event)));
  }

  // ---- The settings' text --------------------------------------------------------------------

  private static List<String> replies(List<String> day, UnaryOperator<String> change) {
    List<String> replies = new ArrayList<>();
    try {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] text = String.join("\n", day.stream().map(change).toList()).getBytes(StandardCharsets.UTF_8);
      assertEquals(0, new SimulatorHost(DecisionModule::new).run(new ByteArrayInputStream(text), out, System.err));
      Collections.addAll(replies, out.toString(StandardCharsets.UTF_8).split("\n"));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
    return replies;
  }

  /** Names appear only in the settings; here each one is changed, and unknown ones are added. */
  @Example
  void otherNamesChangeNoReply() {
    List<String> day = recordedDay();
    assertEquals(replies(day, UnaryOperator.identity()), replies(day, line -> line
        .replace("\"class-0\"", "\"\\u00e4nderung-7\"")
        .replace("\"tenants\":[]", "\"tenants\":[],\"azs\":[\"x\",\"y\",\"z\"],\"flavors\":[\"one\",\"two\"],"
            + "\"tiers\":[\"other\"],\"stranger\":{\"n\":[1,{\"a\":null}]}")));
  }

  /** The settings of each start with all keys shuffled at every depth. */
  @Property(tries = 6, seed = "11", shrinking = ShrinkingMode.OFF)
  void keysInAnotherOrderChangeNoReply(@ForAll long seed) {
    Random random = new Random(seed);
    List<String> day = recordedDay();
    assertEquals(replies(day, UnaryOperator.identity()), replies(day, line -> shuffleSettings(line, random)));
  }

  // ---- Time ----------------------------------------------------------------------------------

  /**
   * Traffic with cold servers, with all times in multiples of a unit: with the unit doubled, also in the settings, the
   * same servers must be chosen with doubled timeouts. Left out is what depends on times that are constants of the
   * module: ejections, waits for capacity and the answer margin; see docs/DESIGN.md on the parameters.
   */
  @Property(tries = 50, seed = "5", shrinking = ShrinkingMode.OFF)
  void doubledTimesChangeNoDecision(@ForAll long seed) {
    List<Action> once = traffic(seed, 1);
    List<Action> twice = traffic(seed, 2);
    assertTrue(once.stream().filter(Send.class::isInstance).count() > 50, once::toString);
    assertEquals(once.stream().map(MetamorphicTest::doubled).toList(), twice);
  }

  private static Action doubled(Action action) {
    if (action instanceof Send a) {
      return new Send(a.id(), a.server(), a.timeout() * 2);
    }
    if (action instanceof WakeAfter a) {
      return new WakeAfter(a.delay() * 2, a.token());
    }
    return action;
  }

  private static List<Action> traffic(long seed, long unit) {
    Random random = new Random(seed);
    int nodes = 1 + random.nextInt(30);
    Rules rules = new Rules(20_000 * unit, 1_000_000 * unit, 2 + random.nextInt(3), 1_500_000 * unit,
        0.1 + 0.3 * random.nextDouble(), 10_000_000 * unit, 0);
    RequestClass requestClass =
        new RequestClass(Idempotency.SAFE, DedupScope.ALL, 0, 300_000 * unit, 1_200_000 * unit, 1, 100_000 * unit);
    Settings settings = new Settings(random.nextInt(nodes), nodes, 0, List.of(requestClass), List.of(), rules,
        new Balancer.Limits(3, true, false, false, false, true, 600_000 * unit, 8_000 * unit),
        new Balancer.Prices(0.03, 0.2, 0, 0, 0.02), Balancer.WeightMeaning.NOMINAL, false, random.nextBoolean(), false,
        false, false, 0.1);
    // A server's start time is hashed into the rotation of send allowances: it is not scaled, and times count from it.
    long start = 1_000_000_000_000L;
    DecisionModule module = new DecisionModule();
    List<Action> all = new ArrayList<>(module.on(start, new Start(seed, settings)));
    List<ServerEntry> servers = new ArrayList<>();
    int count = 2 + random.nextInt(8);
    for (int i = 0; i < count; i++) {
      servers.add(new ServerEntry("s-" + i, random.nextInt(2), 0, 0, i > 0 && random.nextInt(3) == 0 ? start : 0,
          ServerState.READY, 1 + random.nextInt(3)));
    }
    all.addAll(module.on(start, new ServerList(1, ListKind.FULL, servers)));
    long now = start;
    for (int i = 0; i < 200; i++) {
      now += random.nextInt(60_000) * unit;
      String id = Integer.toHexString(i);
      String key = Integer.toHexString(random.nextInt(60));
      Request request = new Request(id, now + 1_200_000 * unit, 0, key, key, 1000 * (1 + i % 3), false, false, 0,
          false);
      List<Action> actions = module.on(now, new Arrived(request));
      all.addAll(actions);
      for (Action action : actions) {
        if (action instanceof Send send) {
          long elapsed = (1_000 + random.nextInt(5_000)) * unit;
          now += elapsed;
          all.addAll(module.on(now, new Established(id, 0, send.server(), elapsed)));
          if (random.nextInt(4) == 0) {
            all.addAll(module.on(now, new Ended(id, 0, send.server(), Outcome.SERVED, elapsed, true, null)));
          }
        }
      }
    }
    return all.stream().filter(a -> !(a instanceof WakeAfter)).toList();
  }

  /** A batch in which the settings of each start have shuffled keys. */
  private static String shuffleSettings(String line, Random random) {
    StringBuilder out = new StringBuilder();
    int copied = 0;
    for (int start = line.indexOf("[\"ENLIST\","); start >= 0; start = line.indexOf("[\"ENLIST\",", copied)) {
      int open = line.indexOf('{', start);
      int close = endOfObject(line, open);
      out.append(line, copied, open).append(ShuffledJson.of(line.substring(open, close), random));
      copied = close;
    }
    return out.append(line.substring(copied)).toString();
  }

  /** The index after the object that begins here; no string of the recorded settings contains a brace. */
  private static int endOfObject(String line, int open) {
    int depth = 0;
    for (int i = open; ; i++) {
      depth += line.charAt(i) == '{' ? 1 : line.charAt(i) == '}' ? -1 : 0;
      if (depth == 0) {
        return i + 1;
      }
    }
  }
}
