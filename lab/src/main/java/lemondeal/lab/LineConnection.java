package lemondeal.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking TCP connection for lines of text. Only one thread may read; any thread may write. */
public final class LineConnection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 5000;

  private final Socket socket;
  private final InputStream input;
  /** Received part of an incomplete line; kept when a read times out within the line. */
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

  /** How long {@link #readLine} waits before it throws; 0 waits forever. */
  public void setReadTimeout(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
  }

  /** Returns the next line without its terminator, or null at the end of the stream. Drops an incomplete last line. */
  public String readLine() throws IOException {
    for (int b = input.read(); b >= 0; b = input.read()) {
      if (b == '\n') {
        int length = partialLine.length();
        String line = partialLine.substring(0, length > 0 && partialLine.charAt(length - 1) == '\r'
            ? length - 1 : length);
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

  /** Writes the text without adding line ends. */
  public synchronized void writeRaw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Half-closes the connection: data that is already sent still arrives. */
  public void shutdownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Closes with a TCP reset, as when the process dies. */
  public void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // Already closed.
    }
    close();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Already closed.
    }
  }
}
