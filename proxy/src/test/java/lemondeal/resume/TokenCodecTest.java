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

/** Round trips of tokens, rejection of texts that are not valid tokens, and key rotation. */
class TokenCodecTest {
  private final TokenCodec codec = new TokenCodec();
  private final Key firstKey = key("k1", 1);
  private final Key secondKey = key("k2", 2);
  private final KeyRing keyRing = new KeyRing("k2", List.of(firstKey, secondKey));

  static Key key(String id, int fill) {
    byte[] secret = new byte[Key.SECRET_BYTES];
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

  private TokenFault faultOf(String text) {
    return assertThrows(TokenException.class, () -> codec.decode(text, keyRing), text).fault();
  }

  @Property(seed = "11", tries = 200)
  void roundTripsAndFitsALine(@ForAll long seed) throws TokenException {
    Token token = token(new Random(seed));
    for (Key key : keyRing.keys()) {
      String text = codec.encode(token, key);
      assertEquals(token, codec.decode(text, keyRing));
      assertTrue(text.matches("[A-Za-z0-9_.-]{1,1024}"), text);
    }
  }

  /** Every changed character and every truncation is detected: no payload is trusted before its MAC is verified. */
  @Property(seed = "12", tries = 25)
  void everyAlterationIsRejected(@ForAll long seed) {
    Random random = new Random(seed);
    String text = codec.encode(token(random), firstKey);
    for (int position = 0; position < text.length(); position++) {
      char replacement = "ABCxyz019-_.".charAt(random.nextInt(12));
      if (replacement != text.charAt(position)) {
        faultOf(text.substring(0, position) + replacement + text.substring(position + 1));
      }
      faultOf(text.substring(0, position));
      faultOf(text.substring(position + 1));
    }
    faultOf(text + "A");
  }

  @Property(seed = "13", tries = 500)
  void garbageIsRejected(@ForAll String garbage) {
    faultOf(garbage);
  }

  @Example
  void faultsAreDistinguished() {
    String text = codec.encode(token(new Random(5)), firstKey);
    assertEquals(TokenFault.SHAPE, faultOf(""));
    assertEquals(TokenFault.SHAPE, faultOf("1." + "A".repeat(2000)));
    assertEquals(TokenFault.VERSION, faultOf("2" + text.substring(1)));
    assertEquals(TokenFault.VERSION, faultOf("7.some.later-form"));
    assertEquals(TokenFault.FORGED, faultOf(text.replaceFirst("k1", "k2")));
    KeyRing newerRing = new KeyRing("k2", List.of(secondKey));
    assertEquals(TokenFault.KEY, assertThrows(TokenException.class, () -> codec.decode(text, newerRing)).fault());
  }

  @Example
  void messagesContainNeitherSecretNorToken() {
    String text = codec.encode(token(new Random(6)), firstKey);
    TokenException exception = assertThrows(TokenException.class, () -> codec.decode(text + "A", keyRing));
    assertEquals("token: shape", exception.getMessage());
    assertEquals("key k1", firstKey.toString());
  }

  @Example
  void groupsAreDigests() {
    assertEquals("", codec.groupDigest(null));
    assertEquals(16, codec.groupDigest("some group").length());
    assertFalse(codec.groupDigest("a").equals(codec.groupDigest("b")));
  }

  @Example
  void keyRingRotates() {
    KeyRing rotatedRing = keyRing.withKey(key("k3", 3)).withPresentKey("k3").withoutKey("k1");
    assertEquals("k3", rotatedRing.presentKey().id());
    List<String> ids = new ArrayList<>();
    rotatedRing.keys().forEach(key -> ids.add(key.id()));
    assertEquals(List.of("k2", "k3"), ids);
    assertThrows(IllegalArgumentException.class, () -> rotatedRing.withoutKey("k3"));
    assertThrows(IllegalArgumentException.class, () -> rotatedRing.withPresentKey("k1"));
    assertThrows(IllegalArgumentException.class, () -> rotatedRing.withKey(key("k2", 9)));
  }
}
