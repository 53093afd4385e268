import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Two toy servers and a toy discovery on loopback, to try the proxy with. Run with
 * {@code java example/ToySite.java}; the example's README says the rest.
 */
public final class ToySite {
  private static final int DISCOVERY = 8500;
  private static final int[] SERVERS = {9001, 9002};
  private static final int HEARTBEAT_MS = 2000;

  private interface Talk {
    void with(BufferedReader in, OutputStream out) throws IOException, InterruptedException;
  }

  private ToySite() {}

  public static void main(String[] args) throws IOException {
    for (int port : SERVERS) {
      listen(port, (in, out) -> serve(port, in, out));
    }
    listen(DISCOVERY, ToySite::list);
    System.out.println("toy servers and discovery are up; end with Ctrl-C");
  }

  private static void listen(int port, Talk talk) throws IOException {
    ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    new Thread(() -> {
      while (true) {
        try {
          Socket socket = listener.accept();
          new Thread(() -> talk(socket, talk)).start();
        } catch (IOException e) {
          System.out.println("port " + port + ": " + e.getMessage());
        }
      }
    }).start();
  }

  private static void talk(Socket socket, Talk talk) {
    try (socket) {
      talk.with(new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)),
          socket.getOutputStream());
    } catch (IOException | InterruptedException e) {
      System.out.println("a connection ended: " + e.getMessage());
    }
  }

  /** A server: takes every connection, echoes its lines and says goodbye to {@code quit}. */
  private static void serve(int port, BufferedReader in, OutputStream out) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      System.out.println(port + " <- " + line);
      if (line.startsWith("OPEN ")) {
        say(out, "UP toy-" + port);
      } else if (line.equals("PING")) {
        say(out, "PONG");
      } else if (line.equals("STATS")) {
        say(out, "PONG qps=1,inflight=1,x0=0.1");
      } else if (line.equals("quit")) {
        say(out, "BYE");
        return;
      } else {
        say(out, "echo " + line);
      }
    }
  }

  private static void say(OutputStream out, String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  /** Discovery: both servers are in service, and nothing ever changes. */
  private static void list(BufferedReader in, OutputStream out) throws IOException, InterruptedException {
    String request = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      continue;
    }
    say(out, "HTTP/1.1 200 OK");
    say(out, "Transfer-Encoding: chunked");
    say(out, "");
    chunk(out, "{\"generation\":1,\"reset\":true,\"instances\":[" + instance(SERVERS[0]) + ","
        + instance(SERVERS[1]) + "]}\n");
    while (request.contains("stream=1")) {
      Thread.sleep(HEARTBEAT_MS);
      chunk(out, "\n");
    }
    say(out, "0");
    say(out, "");
  }

  private static String instance(int port) {
    return "{\"instanceId\":\"toy-" + port + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"a\","
        + "\"machineType\":\"toy\",\"cell\":0,\"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0}";
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    say(out, Integer.toHexString(text.length()));
    say(out, text);
  }
}
