package lemondeal.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking socket that speaks lines. Reading is one thread's, writing may be any one's. */
public final class LineConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 5000;

  private final Socket socket;
  private final InputStream input;
  /** What has come of a line that is not whole; kept when the patience ends inside it. */
  private final StringBuilder partialLine = new StringBuilder();

  public LineConnection(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    input = new BufferedInputStream(socket.getInputStream());
  }

  public static LineConnection connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      return new LineConnection(socket);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** How long {@link #read} waits before it throws; 0 for ever. */
  public void setReadTimeout(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
  }

  /** The next whole line without its end, or null at the end of the connection. A line cut off by that is none. */
  public String readLine() throws IOException {
    for (int b = input.read(); b >= 0; b = input.read()) {
      if (b == '\n') {
        int length = partialLine.length();
        String line = partialLine.substring(0, length > 0 && partialLine.charAt(length - 1) == '\r' ? length - 1 : length);
        partialLine.setLength(0);
        return line;
      }
      partialLine.append((char) b);
    }
    return null;
  }

  public void writeLines(String... lines) throws IOException {
    writeRaw(String.join("\r\n", lines) + "\r\n");
  }

  /** Writes the text as it is. */
  public synchronized void writeRaw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Ends the sending; what was sent still arrives. */
  public void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Ends with a reset, as when a process dies. */
  public void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // It has ended already.
    }
    close();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // It has ended already.
    }
  }
}
