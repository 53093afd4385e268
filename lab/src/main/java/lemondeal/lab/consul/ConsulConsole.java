package lemondeal.lab.consul;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The stand-in Consul with link servers registered in it, changed by lines on standard input: for trying a proxy by
 * hand. Each line is one change; a line that can't be done is answered with what is allowed, and nothing changes.
 */
public final class ConsulConsole implements AutoCloseable {
  static final String HELP = "allowed: add NAME | critical NAME | warning NAME | passing NAME | leave NAME | "
      + "maintenance NAME on|off | deregister NAME | mood " + String.join("|", names()) + " | restore INDEX | list";

  private final ConsulStandIn consul = new ConsulStandIn();
  private final Map<String, LinkServer> servers = new LinkedHashMap<>();
  private final Map<String, String> keys = new LinkedHashMap<>();
  private final PrintStream out;

  /** Starts Consul and so many link servers, named s-1 and on. */
  public ConsulConsole(int count, PrintStream out) throws IOException {
    this.out = out;
    for (int i = 1; i <= count; i++) {
      add("s-" + i);
    }
    out.println("consul at 127.0.0.1:" + consul.address().getPort() + ", service " + ConsulSite.SERVICE
        + "; for the operator's file:");
    out.println("  discovery: {consul: {agents: ['127.0.0.1:" + consul.address().getPort() + "'], service: "
        + ConsulSite.SERVICE + "}}");
    out.println(HELP);
  }

  private static String[] names() {
    ConsulStandIn.Mood[] moods = ConsulStandIn.Mood.values();
    String[] names = new String[moods.length];
    for (int i = 0; i < moods.length; i++) {
      names[i] = moods[i].name().toLowerCase(Locale.ROOT);
    }
    return names;
  }

  /** Carries out lines until the input ends. */
  public void run(BufferedReader in) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (!line.isBlank()) {
        out.println(carryOut(line.trim().split("\\s+")));
      }
    }
  }

  /** One change; what was done, or why nothing was. */
  String carryOut(String[] words) throws IOException {
    String verb = words[0].toLowerCase(Locale.ROOT);
    if (verb.equals("list")) {
      return keys.keySet() + " " + servers.values().stream().map(server -> server.opened() + "").toList() + " opened";
    }
    if (words.length < 2) {
      return "'" + String.join(" ", words) + "' can't be done; " + HELP;
    }
    String name = words[1];
    switch (verb) {
      case "add" -> {
        return keys.containsKey(name) ? name + " is there already" : "added " + add(name);
      }
      case "mood" -> {
        try {
          consul.mood(ConsulStandIn.Mood.valueOf(name.toUpperCase(Locale.ROOT)));
          return "mood " + name;
        } catch (IllegalArgumentException e) {
          return "no mood '" + name + "'; " + HELP;
        }
      }
      case "restore" -> {
        try {
          consul.catalogue().restoreIndex(Long.parseLong(name));
          return "index " + name;
        } catch (NumberFormatException e) {
          return "'" + name + "' is no index; " + HELP;
        }
      }
      default -> {
        return change(verb, name, words);
      }
    }
  }

  private String change(String verb, String name, String[] words) {
    String key = keys.get(name);
    if (key == null) {
      return "no server '" + name + "'; there are " + keys.keySet();
    }
    switch (verb) {
      case "critical", "warning", "passing" -> consul.catalogue().status(key, verb);
      case "leave" -> consul.catalogue().check(key, "serfHealth", "critical");
      case "maintenance" -> {
        if (words.length < 3 || !words[2].matches("on|off")) {
          return "maintenance wants on or off; " + HELP;
        }
        consul.catalogue().maintenance(key, words[2].equals("on"));
      }
      case "deregister" -> {
        consul.catalogue().deregister(key);
        keys.remove(name);
        servers.remove(name).close();
      }
      default -> {
        return "'" + verb + "' can't be done; " + HELP;
      }
    }
    return verb + " " + name;
  }

  private String add(String name) throws IOException {
    LinkServer server = new LinkServer();
    servers.put(name, server);
    keys.put(name, consul.catalogue().register("node-" + name, "127.0.0.1", ConsulSite.SERVICE, name, server.address().getPort()));
    return name + " at 127.0.0.1:" + server.address().getPort();
  }

  @Override
  public void close() {
    servers.values().forEach(LinkServer::close);
    consul.close();
  }
}
