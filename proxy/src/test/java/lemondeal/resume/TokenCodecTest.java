package lemondeal.resume;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tokens to text and back, and texts that are none. */
class TokenCodecTest {
  private final TokenCodec codec = new TokenCodec();
  private final Key first = key("k1", 1);
  private final Key second = key("k2", 2);
  private final KeyRing ring = new KeyRing("k2", List.of(first, second));

  static Key key(String id, int fill) {
    byte[] secret = new byte[Key.BYTES];
    Arrays.fill(secret, (byte) fill);
    return new Key(id, Instant.EPOCH, secret);
  }

  static Token token(Random random) {
    byte[] session = new byte[16];
    random.nextBytes(session);
    return new Token(HexFormat.of().formatHex(session), random.nextLong() >>> 1, "order-sync",
        random.nextBoolean() ? "" : "0011223344556677", random.nextInt(1_000_000), random.nextInt(1_000_000),
        "s-" + random.nextInt(1000), random.nextLong() >>> 1, random.nextLong() >>> 1);
  }

  private TokenFault fault(String text) {
    return assertThrows(TokenException.class, () -> codec.read(text, ring), text).fault();
  }

  @Property(seed = "11", tries = 200)
  void comesBackAsItWasAndFitsALine(@ForAll long seed) throws TokenException {
    Token token = token(new Random(seed));
    for (Key key : ring.keys()) {
      String text = codec.write(token, key);
      assertEquals(token, codec.read(text, ring));
      assertTrue(text.matches("[A-Za-z0-9_.-]{1,1024}"), text);
    }
  }

  /** Every other character anywhere, and every cut, is found: nothing of a payload is believed before its MAC. */
  @Property(seed = "12", tries = 25)
  void nothingButTheWholeTextIsTaken(@ForAll long seed) {
    Random random = new Random(seed);
    String text = codec.write(token(random), first);
    for (int at = 0; at < text.length(); at++) {
      char other = "ABCxyz019-_.".charAt(random.nextInt(12));
      if (other != text.charAt(at)) {
        fault(text.substring(0, at) + other + text.substring(at + 1));
      }
      fault(text.substring(0, at));
      fault(text.substring(at + 1));
    }
    fault(text + "A");
  }

  @Property(seed = "13", tries = 500)
  void garbageIsRefused(@ForAll String garbage) {
    fault(garbage);
  }

  @Example
  void eachFaultIsToldApart() {
    String text = codec.write(token(new Random(5)), first);
    assertEquals(TokenFault.SHAPE, fault(""));
    assertEquals(TokenFault.SHAPE, fault("1." + "A".repeat(2000)));
    assertEquals(TokenFault.VERSION, fault("2" + text.substring(1)));
    assertEquals(TokenFault.VERSION, fault("7.some.later-form"));
    assertEquals(TokenFault.FORGED, fault(text.replaceFirst("k1", "k2")));
    KeyRing later = new KeyRing("k2", List.of(second));
    assertEquals(TokenFault.KEY, assertThrows(TokenException.class, () -> codec.read(text, later)).fault());
  }

  @Example
  void messagesHoldNoSecretAndNoToken() {
    String text = codec.write(token(new Random(6)), first);
    TokenException fault = assertThrows(TokenException.class, () -> codec.read(text + "A", ring));
    assertEquals("token: shape", fault.getMessage());
    assertEquals("key k1", first.toString());
  }

  @Example
  void groupsAreDigests() {
    assertEquals("", codec.group(null));
    assertEquals(16, codec.group("some group").length());
    assertFalse(codec.group("a").equals(codec.group("b")));
  }

  @Example
  void aRingRotates() {
    KeyRing rotated = ring.with(key("k3", 3)).using("k3").without("k1");
    assertEquals("k3", rotated.presentKey().id());
    List<String> ids = new ArrayList<>();
    rotated.keys().forEach(key -> ids.add(key.id()));
    assertEquals(List.of("k2", "k3"), ids);
    assertThrows(IllegalArgumentException.class, () -> rotated.without("k3"));
    assertThrows(IllegalArgumentException.class, () -> rotated.using("k1"));
    assertThrows(IllegalArgumentException.class, () -> rotated.with(key("k2", 9)));
  }
}
