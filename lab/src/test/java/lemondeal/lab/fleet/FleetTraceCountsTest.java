package lemondeal.lab.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedWriter;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import lemondeal.Balancer;
import lemondeal.Balancer.Adopted;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.Ended;
import lemondeal.Balancer.Established;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.MessageDelay;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Outcome;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.ProbeResult;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.Wake;
import lemondeal.Balancer.WakeAfter;
import lemondeal.log.EventLog;
import lemondeal.trace.TracingBalancer;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests the trace writer and the counting of trace lines against each other, so that their formats stay in step. */
class FleetTraceCountsTest {
  private final List<String> logLines = new ArrayList<>();
  private long millis = 1_700_000_000_000L;

  /** A traced module that returns the actions given by the test. */
  private final class TracedProxy {
    private List<Balancer.Action> nextActions = List.of();
    private final Balancer traced;

    TracedProxy(String name) {
      Balancer module = new Balancer() {
        @Override
        public List<Action> on(long now, Event event) {
          return nextActions;
        }

        @Override
        public ServerSummary serverSummary(long now) {
          return new ServerSummary(true, 3, 1);
        }
      };
      EventLog eventLog = new EventLog() {
        @Override
        public void event(Level level, String event, String line, Object... fields) {
          logLines.add(line);
        }

        @Override
        public void failure(String line, Throwable failure) {
          throw new AssertionError(line, failure);
        }
      };
      traced = new TracingBalancer(module, eventLog, name, () -> millis);
    }

    void handle(Event event, Balancer.Action... actions) {
      nextActions = List.of(actions);
      assertEquals(nextActions, traced.on(7, event), "tracing changed the decision");
    }
  }

  private static Arrived arrived(String id) {
    return new Arrived(new Request(id, 2_000_007, 1, "key", "group", Double.NaN, false, true, 0, false));
  }

  @Test
  void countsEventsOfAllProxies() throws Exception {
    TracedProxy a = new TracedProxy("n0");
    TracedProxy b = new TracedProxy("n1");
    a.handle(arrived("1"), new Probe("s-1"), new WakeAfter(5, 9));
    b.handle(arrived("1"), new Send("1", "s-2", 0));
    millis += 40;
    a.handle(new ProbeResult("s-1", Outcome.NO_CONNECTION, 40_000, null), new Send("1", "s-2", 500_000));
    millis += 1_000;
    b.handle(new Established("1", 0, "s-2", 1_040_000));
    a.handle(new Ended("1", 0, "s-2", Outcome.REFUSED, 1_000_000, false, null), new Refuse("1", 100_000));
    a.handle(new Wake(9));
    b.handle(new MessageDelay("1", 0, "s-2", 80), new Move("1"));
    FleetTraceCounts count = new FleetTraceCounts();
    logLines.forEach(line -> count.add(TraceLine.parse("0.370 " + line)));
    count.aggregate();
    assertEquals(2, count.total("arrived"));
    assertEquals(2, count.totalAtServer("s-2", "send"));
    assertEquals(1, count.totalAtServer("s-2", "ended refused"));
    assertEquals(1, count.totalAtServer("s-1", "probed no_connection"));
    assertEquals(1, count.total("refuse") * count.total("move") * count.total("up") * count.total("delay"));
    assertEquals(0, count.total("wake"), "timer events are not traced");
    assertEquals(List.of(0L, 40L), count.firstAttemptWaits());
    assertTrue(count.report().contains("until the answer, ms: median 1040"), count.report());
    assertTrue(count.report().startsWith("2 proxies"), count.report());
  }

  /** Request ids restart with the process; the first request after a restart was once matched with one before it. */
  @Test
  void requestsOfAKilledProxyAreDiscarded() {
    FleetTraceCounts count = new FleetTraceCounts();
    for (String line : List.of("trace n0 1000 arrived id=1", "trace n0 5000 start", "trace n0 5100 send id=1 server=s",
        "trace n0 6000 arrived id=1", "trace n0 6030 send id=1 server=s")) {
      count.add(TraceLine.parse(line));
    }
    count.aggregate();
    assertEquals(List.of(30L), count.firstAttemptWaits());
  }

  @Test
  void parsesTraceLinesInsideJsonLog() {
    TraceLine line = TraceLine
        .parse("{\"message\":\"trace n3 12 ended id=4 server=s-9 outcome=RESET ms=3 over=true\",\"x\":1}");
    assertEquals("ended reset", line.counterName());
    assertEquals("s-9", line.server());
    assertEquals("true", line.fields().get("over"));
    assertNull(TraceLine.parse("n3 s-9 hot, a message takes 43 ms: sheds share 5%"));
  }

  @Property(seed = "20261201")
  void garbageIsIgnored(@ForAll String text) {
    TraceLine line = TraceLine.parse("trace " + text);
    assertTrue(line == null || line.fields() != null);
  }

  @Test
  void folderWithoutTraceIsRefused(@TempDir Path folder) throws Exception {
    Files.writeString(folder.resolve("n0.log"), "lemondeal: ready\n");
    StringWriter errorOutput = new StringWriter();
    CommandLine command = new CommandLine(new FleetCountCommand()).setErr(new PrintWriter(errorOutput, true));
    assertEquals(2, command.execute(folder.toString()));
    assertTrue(errorOutput.toString().startsWith(folder + " has no traced line"), errorOutput.toString());
    Files.writeString(folder.resolve("n1.log"), "0.1 trace n1 5 arrived id=1\n0.2 trace n1 6 se");
    assertEquals("1 proxies, 2 lines", run(folder).split("\n")[0]);
  }

  /** Uses a buffered writer: without an explicit flush the command once printed nothing in a shell. */
  private static String run(Path folder, String... options) throws Exception {
    StringWriter output = new StringWriter();
    String[] arguments = Stream.concat(Stream.of(folder.toString()), Stream.of(options)).toArray(String[]::new);
    CommandLine command = new CommandLine(new FleetCountCommand());
    command.setOut(new PrintWriter(new BufferedWriter(output)));
    assertEquals(0, command.execute(arguments));
    return output.toString();
  }

  @Test
  void reportsCostsAtConfiguredPrices(@TempDir Path folder) throws Exception {
    TracedProxy a = new TracedProxy("n0");
    a.handle(new Adopted(arrived("1").request(), "s-1"), new Probe("s-1"));
    a.handle(arrived("2"), new Probe("s-1"), new Move("1"));
    Files.write(folder.resolve("n0.log"), logLines);
    String output = run(folder, "--config", "../example/config.json");
    assertTrue(output.contains("probe: 2 at 0.0023 for 1 first tries, 0.0046 of the result"), output);
    assertTrue(output.contains("move: 1 at 0.01 for 1 first tries, 0.0100 of the result"), output);
    assertEquals(2, new CommandLine(new FleetCountCommand()).setErr(new PrintWriter(new StringWriter()))
        .execute(folder.toString(), "--config", folder.resolve("n0.log").toString()),
        "a log file is not a configuration");
  }
}
