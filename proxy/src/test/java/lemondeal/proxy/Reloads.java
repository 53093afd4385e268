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
import lemondeal.proxy.Site.Peer;
import org.junit.jupiter.api.io.TempDir;

/** A site whose settings are replaced under it, and what each module hears that was made for them. */
abstract class Reloads {
  static final String CHAT = "c=chat,d=5000";
  static final String FEED = "c=feed,d=5000";

  @TempDir
  Path folder;

  /** The text that the site was started with. */
  String text;
  /** What each module heard that was made for settings read anew. */
  final List<BlockingQueue<Event>> heard = new ArrayList<>();
  final BlockingQueue<String> logged = new LinkedBlockingQueue<>();
  final PrintStream log = new PrintStream(new ByteArrayOutputStream()) {
    @Override
    public void println(String line) {
      logged.add(line);
    }
  };

  /** A site whose modules all go by this script. */
  Site site(Function<Event, List<Action>> script, UnaryOperator<String> change) throws IOException {
    Site site = Site.of(script, setup -> {
      setup.log = log;
      setup.longestDeadline = 5_000_000;
      setup.config = given -> text = change.apply(given);
    });
    site.proxy.setModuleFactory(() -> {
      BlockingQueue<Event> events = new LinkedBlockingQueue<>();
      heard.add(events);
      return new ScriptedBalancer(event -> {
        events.add(event);
        return script.apply(event);
      });
    });
    return site;
  }

  Site site(Function<Event, List<Action>> script) throws IOException {
    return site(script, UnaryOperator.identity());
  }

  /** Hands the proxy the configuration with these changes; it is taken over in its next turn. */
  void hand(Site site, UnaryOperator<String> change) throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), Site.withRules(change.apply(text)));
    site.proxy.reconfigure(Config.read(Map.of("GW_CONFIG", file.toString())));
  }

  void reload(Site site, UnaryOperator<String> change) throws Exception {
    hand(site, change);
    site.settle();
  }

  /** Another customer's settings: another class, other zones and kinds of machines, another effect and deadline. */
  static String other(String text) {
    return text.replace("\"chat\"", "\"feed\"").replace("idempotent", "at_most_once").replace("5000000", "3000000")
        .replace("\"azs\":[\"a\"]", "\"azs\":[\"b\",\"a\"]")
        .replace("\"flavors\":[\"m\"]", "\"flavors\":[\"n\",\"o\",\"m\"]");
  }

  <T extends Event> T next(int module, Class<T> kind) throws InterruptedException {
    Event event;
    do {
      event = heard.get(module).poll(10, TimeUnit.SECONDS);
      assertNotNull(event, "no " + kind.getSimpleName() + " came to module " + module);
    } while (!kind.isInstance(event));
    return kind.cast(event);
  }

  static <T> boolean any(Iterable<Event> events, Class<T> kind) {
    for (Event event : events) {
      if (kind.isInstance(event)) {
        return true;
      }
    }
    return false;
  }

  static void drain(Site site) {
    site.events.clear();
  }

  /** The next watch that the proxy opens. */
  static final class DiscoveryPeer {
    final Peer watch;

    DiscoveryPeer(Site site) throws IOException {
      watch = site.atDiscovery();
      while (!watch.line().isEmpty()) {
        continue;
      }
      watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    void list(int generation, String... instances) throws IOException {
      String line = "{\"generation\":" + generation + ",\"reset\":true,\"instances\":["
          + String.join(",", instances) + "]}\n";
      watch.send(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
    }
  }

  ServerList awaitKind(int module, ListKind kind) throws InterruptedException {
    ServerList list;
    do {
      list = next(module, ServerList.class);
    } while (list.kind() != kind);
    return list;
  }
}
