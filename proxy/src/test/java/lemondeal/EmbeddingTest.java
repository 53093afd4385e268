package lemondeal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemondeal.Balancer.Action;
import lemondeal.Balancer.Arrived;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.Request;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.Balancer.Settings;
import lemondeal.Balancer.Start;
import lemondeal.Balancer.WakeAfter;
import lemondeal.module.DecisionModule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the example in README.md. */
class EmbeddingTest {
  private final List<String> connected = new ArrayList<>();
  private final Settings settings = new NodeFixture.Options().settings();

  @Test
  void theExampleConnects() {
    // README example starts
    Balancer balancer = new DecisionModule();
    balancer.on(now(), new Start(42, settings));
    balancer.on(now(), new ServerList(1, ListKind.FULL, List.of(
        new ServerEntry("10.0.0.1:80", 0, 0, 0, 0, ServerState.READY, 4),
        new ServerEntry("10.0.0.2:80", 0, 0, 0, 0, ServerState.READY, 2))));
    Request request = new Request("request-1", now() + 3_000_000, 0, "client-7", null, Double.NaN,
        false, false, 0, false);
    for (Action action : balancer.on(now(), new Arrived(request))) {
      if (action instanceof Send send) {
        connect(send.id(), send.server(), send.timeout());
      } else if (action instanceof WakeAfter wake) {
        schedule(wake.delay(), wake.token());
      }
    }
    // README example ends
    assertEquals(1, connected.size());
  }

  @Test
  void readmeShowsThisExample() throws IOException {
    String source = Files.readString(Path.of("src/test/java/lemondeal/EmbeddingTest.java"));
    int from = source.indexOf("\n", source.indexOf("// README example starts")) + 1;
    String example = source.substring(from, source.indexOf("    // README example ends"));
    assertTrue(Files.readString(Path.of("../README.md")).contains(example));
  }

  private long now() {
    return 1_000_000;
  }

  private void connect(String id, String server, long timeout) {
    connected.add(id + " " + server + " " + timeout);
  }

  private void schedule(long delay, long token) {
    connected.add("wake " + delay + " " + token);
  }
}
