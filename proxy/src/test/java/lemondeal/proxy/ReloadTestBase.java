package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Event;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerList;
import lemondeal.ScriptedBalancer;
import lemondeal.config.Config;
import lemondeal.proxy.ProxyFixture.LineSocket;
import org.junit.jupiter.api.io.TempDir;

/** Base of tests that replace the settings of a running proxy and record the events of each new module. */
abstract class ReloadTestBase {
  static final String CHAT_FIELDS = "c=chat,d=5000";
  static final String FEED_FIELDS = "c=feed,d=5000";

  @TempDir
  Path folder;

  /** The configuration that the proxy was started with. */
  String initialConfig;
  /** The events of each module that a reload has created, in order of creation. */
  final List<BlockingQueue<Event>> eventsByModule = new ArrayList<>();
  final BlockingQueue<String> logLines = new LinkedBlockingQueue<>();
  final PrintStream log = new PrintStream(new ByteArrayOutputStream()) {
    @Override
    public void println(String line) {
      logLines.add(line);
    }
  };

  /** A fixture whose modules all use this script. */
  ProxyFixture newFixture(Function<Event, List<Action>> script, UnaryOperator<String> editConfig) throws IOException {
    ProxyFixture fixture = ProxyFixture.of(script, options -> {
      options.log = log;
      options.longestDeadline = 5_000_000;
      options.editConfig = original -> initialConfig = editConfig.apply(original);
    });
    fixture.proxy.setModuleFactory(() -> {
      BlockingQueue<Event> events = new LinkedBlockingQueue<>();
      eventsByModule.add(events);
      return new ScriptedBalancer(event -> {
        events.add(event);
        return script.apply(event);
      });
    });
    return fixture;
  }

  ProxyFixture newFixture(Function<Event, List<Action>> script) throws IOException {
    return newFixture(script, UnaryOperator.identity());
  }

  /** Submits the edited configuration; the proxy applies it in the event loop's next turn. */
  void reconfigure(ProxyFixture fixture, UnaryOperator<String> editConfig) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"),
        ProxyFixture.withDefaultRules(editConfig.apply(initialConfig)));
    fixture.proxy.reconfigure(Config.read(Map.of("GW_CONFIG", file.toString())));
  }

  void reload(ProxyFixture fixture, UnaryOperator<String> editConfig) throws Exception {
    reconfigure(fixture, editConfig);
    fixture.awaitQueuedWork();
  }

  /** Another customer's settings: a different class, effect and deadline, and other zones and machine types. */
  static String withOtherSettings(String configText) {
    return configText.replace("\"chat\"", "\"feed\"").replace("idempotent", "at_most_once")
        .replace("5000000", "3000000")
        .replace("\"azs\":[\"a\"]", "\"azs\":[\"b\",\"a\"]")
        .replace("\"flavors\":[\"m\"]", "\"flavors\":[\"n\",\"o\",\"m\"]");
  }

  <T extends Event> T nextEvent(int module, Class<T> type) throws InterruptedException {
    Event event;
    do {
      event = eventsByModule.get(module).poll(10, TimeUnit.SECONDS);
      assertNotNull(event, "no " + type.getSimpleName() + " reached module " + module);
    } while (!type.isInstance(event));
    return type.cast(event);
  }

  static <T> boolean contains(Iterable<Event> events, Class<T> type) {
    for (Event event : events) {
      if (type.isInstance(event)) {
        return true;
      }
    }
    return false;
  }

  static void clearEvents(ProxyFixture fixture) {
    fixture.events.clear();
  }

  /** The server side of the proxy's next discovery watch. */
  static final class DiscoveryWatch {
    final LineSocket connection;

    DiscoveryWatch(ProxyFixture fixture) throws IOException {
      connection = fixture.acceptAtDiscovery();
      while (!connection.readLine().isEmpty()) {
        continue;
      }
      connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void sendList(int generation, String... instances) throws IOException {
      String line = "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
          + String.join(",", instances) + "]}\n";
      connection.send(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }
  }

  ServerList awaitList(int module, ListKind kind) throws InterruptedException {
    ServerList list;
    do {
      list = nextEvent(module, ServerList.class);
    } while (list.kind() != kind);
    return list;
  }
}
