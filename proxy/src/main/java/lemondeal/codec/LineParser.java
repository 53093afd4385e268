package lemondeal.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Incremental parser that splits bytes into lines ending in CRLF, or also in a bare LF where that is allowed. */
public final class LineParser {
  private static final int INITIAL_SIZE = 64;

  private final int maxBytes;
  private final boolean acceptsBareLf;
  private byte[] line = new byte[INITIAL_SIZE];
  private int length;

  /** @param maxBytes longest line, including its line end */
  public LineParser(int maxBytes) {
    this(maxBytes, false);
  }

  private LineParser(int maxBytes, boolean acceptsBareLf) {
    this.maxBytes = maxBytes;
    this.acceptsBareLf = acceptsBareLf;
  }

  /** Also accepts a bare LF as line end, which simple command-line tools send. */
  public static LineParser acceptingBareLf(int maxBytes) {
    return new LineParser(maxBytes, true);
  }

  /** Consumes bytes up to the next line end; returns the line without it, or null if the line is incomplete. */
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

  /** Bytes consumed of an incomplete line. */
  public int pendingBytes() {
    return length;
  }

  /** Whether the bytes consumed so far end inside a line. */
  public boolean isMidLine() {
    return length > 0;
  }
}
