package lemondeal.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Feeds a parser as a socket would, in pieces split at random. Shared by all parser tests. */
public final class SplitInput {

  /** An incremental parser. */
  public interface Parser {
    void parse(ByteBuffer bytes) throws ProtocolException;
  }

  private SplitInput() {}

  /** Feeds the text in random pieces; the parser must consume every byte. */
  public static void feed(String text, long seed, Parser parser) throws ProtocolException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Random random = new Random(seed);
    for (int from = 0; from < bytes.length; ) {
      int length = Math.min(bytes.length - from, 1 + random.nextInt(1 + random.nextInt(64)));
      ByteBuffer piece = ByteBuffer.wrap(bytes, from, length);
      parser.parse(piece);
      if (piece.hasRemaining()) {
        throw new AssertionError("the parser left bytes unconsumed");
      }
      from += length;
    }
  }

  /** Feeds a valid text with random damage. The parser may throw only a ProtocolException with a message. */
  public static void feedDamaged(String text, long seed, Parser parser) {
    Random random = new Random(seed);
    StringBuilder damaged = new StringBuilder(text);
    for (int i = random.nextInt(8); i >= 0 && damaged.length() > 0; i--) {
      damaged.setCharAt(random.nextInt(damaged.length()), (char) random.nextInt(256));
    }
    try {
      feed(damaged.toString(), seed, bytes -> {
        parser.parse(bytes);
        bytes.position(bytes.limit());
      });
    } catch (ProtocolException e) {
      if (e.getMessage().isEmpty()) {
        throw new AssertionError("a ProtocolException needs a message", e);
      }
    }
  }
}
