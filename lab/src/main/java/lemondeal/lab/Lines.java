package lemondeal.lab;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A blocking socket that speaks lines. Reading is one thread's, writing may be any one's. */
public final class Lines implements AutoCloseable {
  private static final int CONNECT_MILLIS = 5000;

  private final Socket socket;
  private final InputStream in;
  /** What has come of a line that is not whole; kept when the patience ends inside it. */
  private final StringBuilder partial = new StringBuilder();

  public Lines(Socket socket) throws IOException {
    this.socket = socket;
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  public static Lines to(InetSocketAddress address) throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(address, CONNECT_MILLIS);
      return new Lines(socket);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** How long {@link #read} waits before it throws; 0 for ever. */
  public void patience(int millis) throws IOException {
    socket.setSoTimeout(millis);
  }

  /** The next whole line without its end, or null at the end of the connection. A line cut off by that is none. */
  public String read() throws IOException {
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        int length = partial.length();
        String line = partial.substring(0, length > 0 && partial.charAt(length - 1) == '\r' ? length - 1 : length);
        partial.setLength(0);
        return line;
      }
      partial.append((char) b);
    }
    return null;
  }

  public void write(String... lines) throws IOException {
    raw(String.join("\r\n", lines) + "\r\n");
  }

  /** Writes the text as it is. */
  public synchronized void raw(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Ends the sending; what was sent still arrives. */
  public void end() throws IOException {
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
