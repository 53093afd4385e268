import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Two example servers and an example discovery endpoint on loopback, for trying the proxy. Run with
 * {@code java example/ToySite.java}; see the example's README.
 */
public final class ToySite {
  private static final int DISCOVERY_PORT = 8500;
  private static final int[] SERVER_PORTS = {9001, 9002};
  private static final int HEARTBEAT_MS = 2000;

  private interface ConnectionHandler {
    void handle(BufferedReader in, OutputStream out) throws IOException, InterruptedException;
  }

  private ToySite() {}

  public static void main(String[] args) throws IOException {
    for (int port : SERVER_PORTS) {
      listen(port, (in, out) -> serve(port, in, out));
    }
    listen(DISCOVERY_PORT, ToySite::discovery);
    System.out.println("toy servers and discovery are up; end with Ctrl-C");
  }

  private static void listen(int port, ConnectionHandler handler) throws IOException {
    ServerSocket listener = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    new Thread(() -> {
      while (true) {
        try {
          Socket socket = listener.accept();
          new Thread(() -> handle(socket, handler)).start();
        } catch (IOException e) {
          System.out.println("port " + port + ": " + e.getMessage());
        }
      }
    }).start();
  }

  private static void handle(Socket socket, ConnectionHandler handler) {
    try (socket) {
      handler.handle(new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII)),
          socket.getOutputStream());
    } catch (IOException | InterruptedException e) {
      System.out.println("a connection ended: " + e.getMessage());
    }
  }

  /** A server that accepts every connection, echoes its lines and answers {@code quit} with BYE. */
  private static void serve(int port, BufferedReader in, OutputStream out) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      System.out.println(port + " <- " + line);
      if (line.startsWith("OPEN ")) {
        writeLine(out, "UP toy-" + port);
      } else if (line.equals("PING")) {
        writeLine(out, "PONG");
      } else if (line.equals("STATS")) {
        writeLine(out, "PONG qps=1,inflight=1,x0=0.1");
      } else if (line.equals("quit")) {
        writeLine(out, "BYE");
        return;
      } else {
        writeLine(out, "echo " + line);
      }
    }
  }

  private static void writeLine(OutputStream out, String line) throws IOException {
    out.write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
  }

  /** Discovery: lists both servers as in service and sends empty lines on a watch, since nothing changes. */
  private static void discovery(BufferedReader in, OutputStream out) throws IOException, InterruptedException {
    String request = in.readLine();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      continue;
    }
    writeLine(out, "HTTP/1.1 200 OK");
    writeLine(out, "Transfer-Encoding: chunked");
    writeLine(out, "");
    writeChunk(out, "{\"generation\":1,\"reset\":true,\"instances\":[" + instance(SERVER_PORTS[0]) + ","
        + instance(SERVER_PORTS[1]) + "]}\n");
    while (request.contains("stream=1")) {
      Thread.sleep(HEARTBEAT_MS);
      writeChunk(out, "\n");
    }
    writeLine(out, "0");
    writeLine(out, "");
  }

  private static String instance(int port) {
    return "{\"instanceId\":\"toy-" + port + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"a\","
        + "\"machineType\":\"toy\",\"cell\":0,\"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0}";
  }

  private static void writeChunk(OutputStream out, String text) throws IOException {
    writeLine(out, Integer.toHexString(text.length()));
    writeLine(out, text);
  }
}
