package lemondeal.codec;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Feeds a parser as a socket would: in pieces cut anywhere. Shared by all tests of parsers. */
public final class SplitInput {

  /** What takes bytes as they come. */
  public interface Parser {
    void parse(ByteBuffer bytes) throws ProtocolException;
  }

  private SplitInput() {}

  /** Feeds the text in pieces cut by the seed; every byte must be taken. */
  public static void feed(String text, long seed, Parser parser) throws ProtocolException {
    byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
    Random random = new Random(seed);
    for (int from = 0; from < bytes.length; ) {
      int length = Math.min(bytes.length - from, 1 + random.nextInt(1 + random.nextInt(64)));
      ByteBuffer piece = ByteBuffer.wrap(bytes, from, length);
      parser.parse(piece);
      if (piece.hasRemaining()) {
        throw new AssertionError("bytes are left over");
      }
      from += length;
    }
  }

  /** Feeds a valid text damaged at random places; whatever else than refusal comes of it is a failure. */
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
        throw new AssertionError("a refusal should say why", e);
      }
    }
  }
}
