package lemondeal.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Cuts bytes, as they come, into lines that end in CRLF, or in LF alone where that is allowed. */
public final class LineParser {
  private static final int INITIAL_SIZE = 64;

  private final int maxBytes;
  private final boolean acceptsBareLf;
  private byte[] line = new byte[INITIAL_SIZE];
  private int length;

  /** {@code longest} counts the line's end too. */
  public LineParser(int maxBytes) {
    this(maxBytes, false);
  }

  private LineParser(int maxBytes, boolean acceptsBareLf) {
    this.maxBytes = maxBytes;
    this.acceptsBareLf = acceptsBareLf;
  }

  /** Also takes LF alone as an end: what people type into a plain tool ends so. */
  public static LineParser acceptingBareLf(int maxBytes) {
    return new LineParser(maxBytes, true);
  }

  /** Takes bytes up to the next line's end; returns that line without its end, or null if it is not whole. */
  public String next(ByteBuffer in) throws ProtocolException {
    while (in.hasRemaining()) {
      byte b = in.get();
      if (b == '\n') {
        return finish();
      }
      if (length + 1 >= maxBytes) {
        throw new ProtocolException("a line is longer than " + maxBytes + " bytes");
      }
      if (length == line.length) {
        line = Arrays.copyOf(line, Math.min(maxBytes, 2 * length));
      }
      line[length++] = b;
    }
    return null;
  }

  private String finish() throws ProtocolException {
    boolean endsInCr = length > 0 && line[length - 1] == '\r';
    if (!endsInCr && !acceptsBareLf) {
      throw new ProtocolException("a line does not end in CRLF");
    }
    String text = new String(line, 0, endsInCr ? length - 1 : length, StandardCharsets.ISO_8859_1);
    length = 0;
    return text;
  }

  /** Bytes taken of a line that is not whole. */
  public int pendingBytes() {
    return length;
  }

  /** Whether the bytes so far end inside a line. */
  public boolean isMidLine() {
    return length > 0;
  }
}
