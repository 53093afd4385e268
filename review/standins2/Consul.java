import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Consul's health endpoint, with blocking queries: one catalogue behind any number of agents. A query with the current
 * index waits for a change or for its wait; an agent that has fallen silent takes connections and queries and answers
 * nothing.
 */
final class Consul {
  private static final Pattern QUERY = Pattern.compile("GET (/v1/health/service/[^ ]*) HTTP/1\\.1");

  private record Instance(LinkServer server, String zone, long createIndex, String status) {}

  /** One agent with an address of its own. */
  final class Agent {
    private final String name;
    private final int port;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket socket;
    private volatile boolean silent;

    private Agent(String name) throws IOException {
      this.name = name;
      socket = Rig.listen();
      port = socket.getLocalPort();
      Rig.daemon(() -> accept(socket));
    }

    String address() {
      return "127.0.0.1:" + port;
    }

    /** Its process dies: connections are reset and new ones refused. */
    void stop() throws IOException {
      rig.note("consul: agent " + name + " is down");
      socket.close();
      for (Socket connection : connections) {
        connection.setSoLinger(true, 0);
        connection.close();
      }
    }

    void restart() throws IOException {
      ServerSocket again = new ServerSocket();
      again.setReuseAddress(true);
      again.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port), 512);
      socket = again;
      rig.note("consul: agent " + name + " is back");
      Rig.daemon(() -> accept(again));
    }

    /** From now on nothing is answered, neither on open connections nor on new ones. */
    void fallSilent() {
      silent = true;
      rig.note("consul: agent " + name + " falls silent");
    }

    private void accept(ServerSocket listening) {
      while (true) {
        try {
          Socket accepted = listening.accept();
          connections.add(accepted);
          Rig.daemon(() -> serve(accepted));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket accepted) {
      try (accepted) {
        accepted.setTcpNoDelay(true);
        BufferedReader in = new BufferedReader(
            new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          Matcher request = QUERY.matcher(line);
          if (!request.matches()) {
            return;
          }
          while (line != null && !line.isEmpty()) {
            line = in.readLine();
          }
          answer(request.group(1), accepted.getOutputStream());
        }
      } catch (IOException e) {
        // The other side has ended the connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        connections.remove(accepted);
      }
    }

    private void answer(String query, OutputStream out) throws IOException, InterruptedException {
      lastQueryAt = rig.now();
      rig.note("consul: agent " + name + " is asked " + query);
      String body;
      long answered;
      synchronized (Consul.this) {
        long asked = number(query, "[?&]index=([0-9]+)", 0);
        double end = rig.now() + number(query, "[?&]wait=([0-9]+)ms", 0);
        while (asked > 0 && (asked == index || silent) && (rig.now() < end || silent)) {
          Consul.this.wait(silent ? 60_000 : Math.max(1, (long) (end - rig.now())));
        }
        while (silent) {
          Consul.this.wait(60_000);
        }
        body = body();
        answered = index;
      }
      out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-Index: " + answered
          + "\r\nX-Consul-KnownLeader: true\r\nX-Consul-LastContact: 0\r\nContent-Length: " + body.length() + "\r\n\r\n"
          + body).getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      toldIndex = Math.max(toldIndex, answered);
      rig.note("consul: agent " + name + " has answered with index " + answered);
      synchronized (Consul.this) {
        toldAt.putIfAbsent(answered, rig.now());
      }
    }
  }

  private final Rig rig;
  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Map<Long, Double> toldAt = new LinkedHashMap<>();
  private long index = 10;
  private volatile long toldIndex;
  volatile double lastQueryAt;

  Consul(Rig rig) {
    this.rig = rig;
  }

  Agent agent(String name) throws IOException {
    return new Agent(name);
  }

  synchronized void register(LinkServer server, String zone) {
    instances.put(server.id, new Instance(server, zone, ++index, "passing"));
    rig.note("consul: " + server.id + " registers, index " + index);
    notifyAll();
  }

  /** Sets the checks of these servers in one transaction and returns its index. */
  synchronized long setStatus(String status, Iterable<LinkServer> servers) {
    index++;
    for (LinkServer server : servers) {
      Instance instance = instances.get(server.id);
      instances.put(server.id, new Instance(server, instance.zone, instance.createIndex, status));
      rig.note("consul: " + server.id + " is " + status + ", index " + index);
    }
    notifyAll();
    return index;
  }

  /** When an answer with this index or a later one was first written; NaN if none was. */
  synchronized double toldAt(long wanted) {
    return toldAt.entrySet().stream().filter(told -> told.getKey() >= wanted).mapToDouble(Map.Entry::getValue).min()
        .orElse(Double.NaN);
  }

  private static long number(String text, String pattern, long other) {
    Matcher matcher = Pattern.compile(pattern).matcher(text);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : other;
  }

  private String body() {
    StringBuilder body = new StringBuilder("[");
    for (Instance instance : instances.values()) {
      String node = "node-" + instance.server.id;
      body.append(body.length() > 1 ? "," : "").append("""
          {"Node":{"ID":"","Node":"%s","Address":"127.0.0.1","Datacenter":"dc1","Meta":{}},
           "Service":{"ID":"%s","Service":"link","Tags":["zone=%s"],"Address":"127.0.0.1","Port":%d,"Meta":{},
            "Weights":{"Passing":10,"Warning":1},"CreateIndex":%d,"ModifyIndex":%d},
           "Checks":[{"Node":"%s","CheckID":"serfHealth","Name":"Serf Health Status","Status":"passing","ServiceID":"",
             "ServiceName":""},
            {"Node":"%s","CheckID":"service:%s","Name":"link","Status":"%s","ServiceID":"%s","ServiceName":"link"}]}"""
          .formatted(node, instance.server.id, instance.zone, instance.server.port(), instance.createIndex, index, node,
              node, instance.server.id, instance.status, instance.server.id));
    }
    return body.append("]").toString();
  }
}
