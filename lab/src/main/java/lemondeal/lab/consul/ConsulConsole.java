package lemondeal.lab.consul;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A fake Consul with echo servers registered in it, controlled by lines on standard input, for trying a proxy by hand.
 * Each line is one change; an invalid line changes nothing and prints the allowed commands.
 */
public final class ConsulConsole implements AutoCloseable {
  static final String HELP = "allowed: add NAME | critical NAME | warning NAME | passing NAME | leave NAME | "
      + "maintenance NAME on|off | deregister NAME | mood " + String.join("|", modeNames()) + " | restore INDEX | list";

  private final FakeConsul consul = new FakeConsul();
  private final Map<String, EchoServer> servers = new LinkedHashMap<>();
  private final Map<String, String> consulKeys = new LinkedHashMap<>();
  private final PrintStream out;

  /** Starts Consul and {@code count} echo servers, named s-1, s-2 and so on. */
  public ConsulConsole(int count, PrintStream out) throws IOException {
    this.out = out;
    for (int i = 1; i <= count; i++) {
      add("s-" + i);
    }
    out.println("consul at 127.0.0.1:" + consul.address().getPort() + ", service " + ConsulTestCluster.SERVICE
        + "; for the operator's file:");
    out.println("  discovery: {consul: {agents: ['127.0.0.1:" + consul.address().getPort() + "'], service: "
        + ConsulTestCluster.SERVICE + "}}");
    out.println(HELP);
  }

  private static String[] modeNames() {
    FakeConsul.ResponseMode[] modes = FakeConsul.ResponseMode.values();
    String[] names = new String[modes.length];
    for (int i = 0; i < modes.length; i++) {
      names[i] = modes[i].name().toLowerCase(Locale.ROOT);
    }
    return names;
  }

  /** Executes lines until the input ends. */
  public void run(BufferedReader in) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      if (!line.isBlank()) {
        out.println(execute(line.trim().split("\\s+")));
      }
    }
  }

  /** Executes one command. Returns what was done, or why nothing was. */
  String execute(String[] arguments) throws IOException {
    String command = arguments[0].toLowerCase(Locale.ROOT);
    if (command.equals("list")) {
      return consulKeys.keySet() + " " + servers.values().stream().map(server -> server.openCount() + "").toList()
          + " opened";
    }
    if (arguments.length < 2) {
      return "'" + String.join(" ", arguments) + "' can't be done; " + HELP;
    }
    String name = arguments[1];
    switch (command) {
      case "add" -> {
        return consulKeys.containsKey(name) ? name + " is there already" : "added " + add(name);
      }
      case "mood" -> {
        try {
          consul.setResponseMode(FakeConsul.ResponseMode.valueOf(name.toUpperCase(Locale.ROOT)));
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
        return changeServer(command, name, arguments);
      }
    }
  }

  private String changeServer(String command, String name, String[] arguments) {
    String key = consulKeys.get(name);
    if (key == null) {
      return "no server '" + name + "'; there are " + consulKeys.keySet();
    }
    switch (command) {
      case "critical", "warning", "passing" -> consul.catalogue().setStatus(key, command);
      case "leave" -> consul.catalogue().setCheck(key, "serfHealth", "critical");
      case "maintenance" -> {
        if (arguments.length < 3 || !arguments[2].matches("on|off")) {
          return "maintenance wants on or off; " + HELP;
        }
        consul.catalogue().setMaintenance(key, arguments[2].equals("on"));
      }
      case "deregister" -> {
        consul.catalogue().deregister(key);
        consulKeys.remove(name);
        servers.remove(name).close();
      }
      default -> {
        return "'" + command + "' can't be done; " + HELP;
      }
    }
    return command + " " + name;
  }

  private String add(String name) throws IOException {
    EchoServer server = new EchoServer();
    servers.put(name, server);
    consulKeys.put(name, consul.catalogue().register("node-" + name, "127.0.0.1", ConsulTestCluster.SERVICE, name,
        server.address().getPort()));
    return name + " at 127.0.0.1:" + server.address().getPort();
  }

  @Override
  public void close() {
    servers.values().forEach(EchoServer::close);
    consul.close();
  }
}
