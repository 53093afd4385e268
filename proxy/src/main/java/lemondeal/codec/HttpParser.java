package lemondeal.codec;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Incremental parser of one HTTP/1.1 response, whose body is delivered line by line. */
public final class HttpParser {

  /** Receives the parts of the response in order. */
  public interface Sink {
    void status(int code) throws ProtocolException;

    /** A line of the body without its line end; the last line may have none in the body. */
    void line(String line) throws ProtocolException;

    void end();
  }

  private enum State { STATUS, HEADERS, SIZE, CHUNK, CHUNK_END, TRAILERS, FIXED, UNTIL_CLOSE, OVER }

  private static final int MAX_HEAD_LINE_BYTES = 8192;
  private static final int MAX_HEADERS = 100;

  private final Sink sink;
  private final int maxLineBytes;
  private final LineParser headLines = new LineParser(MAX_HEAD_LINE_BYTES);
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State state = State.STATUS;
  private boolean chunked;
  private long bytesLeft = -1;
  private int headerCount;

  public HttpParser(int maxLineBytes, Sink sink) {
    this.maxLineBytes = maxLineBytes;
    this.sink = sink;
  }

  public void parse(ByteBuffer in) throws ProtocolException {
    while (in.hasRemaining() && state != State.OVER) {
      switch (state) {
        case CHUNK, FIXED, UNTIL_CLOSE -> readBody(in);
        default -> headLine(in);
      }
    }
  }

  /** The connection was closed by the server; only a body without a length may end this way. */
  public void endOfInput() throws ProtocolException {
    if (state == State.UNTIL_CLOSE) {
      finish();
    } else if (state != State.OVER) {
      throw new ProtocolException("the response is incomplete");
    }
  }

  private void headLine(ByteBuffer in) throws ProtocolException {
    String line = headLines.next(in);
    if (line == null) {
      return;
    }
    switch (state) {
      case STATUS -> status(line);
      case HEADERS -> header(line);
      case SIZE -> chunkSize(line);
      case CHUNK_END -> chunkEnd(line);
      default -> trailer(line);
    }
  }

  private void status(String line) throws ProtocolException {
    if (!line.matches("HTTP/1\\.[01] [1-9]\\d{2}( .*)?")) {
      throw new ProtocolException("malformed status line: " + OpenLine.abbreviate(line));
    }
    state = State.HEADERS;
    sink.status(Integer.parseInt(line.substring(9, 12)));
  }

  private void header(String line) throws ProtocolException {
    if (line.isEmpty()) {
      state = chunked ? State.SIZE : bytesLeft < 0 ? State.UNTIL_CLOSE : State.FIXED;
      if (state == State.FIXED && bytesLeft == 0) {
        finish();
      }
      return;
    }
    int colon = line.indexOf(':');
    if (colon <= 0 || ++headerCount > MAX_HEADERS) {
      throw new ProtocolException("malformed header, or too many headers: " + OpenLine.abbreviate(line));
    }
    String value = line.substring(colon + 1).trim();
    switch (line.substring(0, colon).toLowerCase(Locale.ROOT)) {
      case "transfer-encoding" -> chunked = value.equalsIgnoreCase("chunked");
      case "content-length" -> bytesLeft = parseLength(value, 10);
      default -> { }
    }
  }

  private void chunkSize(String line) throws ProtocolException {
    int semicolon = line.indexOf(';');
    bytesLeft = parseLength((semicolon < 0 ? line : line.substring(0, semicolon)).trim(), 16);
    state = bytesLeft == 0 ? State.TRAILERS : State.CHUNK;
  }

  private static long parseLength(String digits, int radix) throws ProtocolException {
    try {
      if (!digits.isEmpty() && Character.digit(digits.charAt(0), radix) >= 0) {
        return Integer.parseInt(digits, radix);
      }
    } catch (NumberFormatException e) {
      // Reported below together with the digits.
    }
    throw new ProtocolException("invalid length: " + OpenLine.abbreviate(digits));
  }

  private void chunkEnd(String line) throws ProtocolException {
    if (!line.isEmpty()) {
      throw new ProtocolException("a chunk is longer than its declared size");
    }
    state = State.SIZE;
  }

  private void trailer(String line) throws ProtocolException {
    if (line.isEmpty()) {
      finish();
    }
  }

  private void readBody(ByteBuffer in) throws ProtocolException {
    while (in.hasRemaining() && (state == State.UNTIL_CLOSE || bytesLeft > 0)) {
      byte b = in.get();
      bytesLeft--;
      if (b == '\n') {
        emitLine();
      } else if (body.size() >= maxLineBytes) {
        throw new ProtocolException("a line of the body is longer than " + maxLineBytes + " bytes");
      } else {
        body.write(b);
      }
    }
    if (bytesLeft == 0 && state == State.CHUNK) {
      state = State.CHUNK_END;
    } else if (bytesLeft == 0 && state == State.FIXED) {
      finish();
    }
  }

  private void emitLine() throws ProtocolException {
    String line = body.toString(StandardCharsets.UTF_8);
    body.reset();
    sink.line(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
  }

  private void finish() throws ProtocolException {
    state = State.OVER;
    if (body.size() > 0) {
      emitLine();
    }
    sink.end();
  }
}
