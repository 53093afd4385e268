package lemondeal.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Feeds each parser valid messages split at random, and randomly damaged ones. */
class ParsersTest {
  private static final int MAX_LINE_BYTES = 4096;

  /** Collects the parts of an HTTP response. */
  private static final class CollectedResponse implements HttpParser.Sink {
    final List<String> lines = new ArrayList<>();
    int status;
    boolean ended;

    @Override
    public void status(int code) {
      status = code;
    }

    @Override
    public void line(String line) {
      lines.add(line);
    }

    @Override
    public void end() {
      ended = true;
    }
  }

  private static SplitInput.Parser collecting(LineParser parser, List<String> lines) {
    return bytes -> {
      for (String line = parser.next(bytes); line != null; line = parser.next(bytes)) {
        lines.add(line);
      }
    };
  }

  private static String chunked(List<String> lines, Random random) {
    String body = String.join("\n", lines) + "\n";
    StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int from = 0; from < body.length(); ) {
      int length = Math.min(body.length() - from, 1 + random.nextInt(20));
      text.append(Integer.toHexString(length)).append("\r\n").append(body, from, from + length).append("\r\n");
      from += length;
    }
    return text.append("0\r\n\r\n").toString();
  }

  @Property(seed = "1", tries = 200)
  void linesAreReassembledFromAnySplit(@ForAll @Size(max = 20) List<@AlphaChars String> lines, @ForAll long seed)
      throws ProtocolException {
    List<String> out = new ArrayList<>();
    SplitInput.feed(String.join("\r\n", lines) + (lines.isEmpty() ? "" : "\r\n"), seed,
        collecting(new LineParser(MAX_LINE_BYTES), out));
    assertEquals(lines, out);
  }

  @Property(seed = "2", tries = 300)
  void damagedLinesAreRejectedOrParsed(@ForAll @Size(max = 20) List<@AlphaChars String> lines, @ForAll long seed) {
    List<String> out = new ArrayList<>();
    SplitInput.feedDamaged(String.join("\r\n", lines) + "\r\n", seed, collecting(new LineParser(64), out));
    assertTrue(out.stream().allMatch(line -> line.length() <= 62));
    out.forEach(line -> ServerLine.parse(line).loadValues());
  }

  @Property(seed = "3", tries = 50)
  void theLongestLineIsAcceptedAndOneByteMoreIsRejected(@ForAll @IntRange(min = 3, max = MAX_LINE_BYTES) int maxBytes)
      throws ProtocolException {
    String line = "x".repeat(maxBytes - 2);
    byte[] fits = (line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    assertEquals(line, new LineParser(maxBytes).next(ByteBuffer.wrap(fits)));
    byte[] tooLong = ("x" + line + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    assertThrows(ProtocolException.class, () -> new LineParser(maxBytes).next(ByteBuffer.wrap(tooLong)));
  }

  @Property(seed = "4", tries = 200)
  void onlyTheDeadlineOfAFirstLineIsRewritten(@ForAll @AlphaChars @Size(min = 1, max = 8) String value,
      @ForAll @IntRange(max = 99_999) int before, @ForAll @IntRange(max = 99_999) int after)
      throws ProtocolException {
    String line = "OPEN 9b1f03aa5c7e2d41 d=1 id=" + value + ",c=" + value + ",d=%d,g=d=7,x=" + before;
    OpenLine open = OpenLine.parse(String.format(line, before));
    assertEquals(before, open.deadlineMillis());
    assertEquals(value, open.value("c"));
    assertEquals(String.format(line, after) + "\r\n", open.withDeadline(after));
  }

  /** Java parses these as numbers, but servers do not: the proxy must reject them. */
  @Example
  void nonDecimalDeadlinesAndMalformedIdsAreRejected() {
    for (String deadline : List.of("0x1p3", "5d", "5f", "1e3", "NaN", "Infinity", "-1", "+1", " 1", "1.", "",
        "9".repeat(15))) {
      String line = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=" + deadline;
      assertThrows(ProtocolException.class, () -> OpenLine.parse(line), deadline);
    }
    for (String id : List.of("", "-", "9b1f", "9b1f03aa5c7e2d4g", "9b1f03aa5c7e2d411")) {
      assertThrows(ProtocolException.class, () -> OpenLine.parse("OPEN " + id + " 7f3a c=chat,d=1"), id);
    }
  }

  @Property(seed = "5", tries = 500)
  void damagedFirstLinesAreRejectedOrParsed(@ForAll long seed) {
    SplitInput.feedDamaged("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f\r\n", seed, bytes -> {
      OpenLine open = OpenLine.parse(StandardCharsets.ISO_8859_1.decode(bytes).toString().trim());
      assertTrue(open.withDeadline(5).contains("d=5"));
    });
  }

  @Property(seed = "6", tries = 200)
  void chunkedResponsesAreDeliveredLineByLine(@ForAll @Size(min = 1, max = 10) List<@AlphaChars String> lines,
      @ForAll long seed) throws ProtocolException {
    CollectedResponse out = new CollectedResponse();
    SplitInput.feed(chunked(lines, new Random(seed)), seed, new HttpParser(MAX_LINE_BYTES, out)::parse);
    assertEquals(lines, out.lines);
    assertEquals(200, out.status);
    assertTrue(out.ended);
  }

  @Property(seed = "7", tries = 500)
  void damagedResponsesAreRejectedOrParsed(@ForAll @Size(min = 1, max = 5) List<@AlphaChars String> lines,
      @ForAll long seed) {
    CollectedResponse out = new CollectedResponse();
    SplitInput.feedDamaged(chunked(lines, new Random(seed)), seed, new HttpParser(MAX_LINE_BYTES, out)::parse);
    assertTrue(out.status == 0 || (out.status >= 100 && out.status <= 999), "status " + out.status);
  }

  @Property(seed = "8", tries = 500)
  void damagedJsonIsRejectedOrParsed(@ForAll long seed) {
    String text = "{\"generation\":41,\"instances\":[{\"instanceId\":\"s\",\"weight\":1.5,\"up\":true,\"x\":null}]}";
    SplitInput.feedDamaged(text, seed, bytes -> Json.parseObject(StandardCharsets.ISO_8859_1.decode(bytes).toString()));
    assertThrows(ProtocolException.class, () -> Json.parseObject(text.substring(0, text.length() - 1)));
  }
}
