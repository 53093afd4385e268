package lemondeal.resume;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.HexFormat;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import lemondeal.resume.wire.TokenPayload;

/**
 * Tokens to text and back: {@code 1.KEY.PAYLOAD.MAC}, the payload in protobuf, the MAC (HMAC-SHA256) over all before its
 * own dot, both in base64url without padding. No character of it has a meaning in a line. Not safe for use by several
 * threads at once.
 *
 * <p>Authenticated, not encrypted: a token holds nothing that its client may not know. JOSE libraries were not taken,
 * since a header that names its own algorithm is what has to be refused here.
 */
public final class TokenCodec {
  /** Longest text, in bytes. */
  public static final int LONGEST = 1024;
  private static final int VERSION = 1;
  private static final int SESSION_BYTES = 16;
  private static final int GROUP_BYTES = 8;
  private static final String ALGORITHM = "HmacSHA256";
  private static final Pattern TEXT = Pattern.compile(
      "([0-9]{1,3})\\.([A-Za-z0-9_-]{1,32})\\.([A-Za-z0-9_-]{1,900})\\.([A-Za-z0-9_-]{43})");
  private static final Pattern OTHER_VERSION = Pattern.compile("([0-9]{1,3})\\.[A-Za-z0-9_.-]+");
  private static final Base64.Encoder TO_TEXT = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder FROM_TEXT = Base64.getUrlDecoder();

  private final Mac mac;
  private final MessageDigest digest;

  public TokenCodec() {
    try {
      mac = Mac.getInstance(ALGORITHM);
      digest = MessageDigest.getInstance("SHA-256");
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK has " + ALGORITHM, e);
    }
  }

  /** The digest under which a client's group stands in a token; empty for null. */
  public String group(String name) {
    if (name == null) {
      return "";
    }
    byte[] bytes = digest.digest(name.getBytes(StandardCharsets.ISO_8859_1));
    return HexFormat.of().formatHex(bytes, 0, GROUP_BYTES);
  }

  public String write(Token token, Key key) {
    TokenPayload payload = TokenPayload.newBuilder()
        .setVersion(VERSION)
        .setSession(bytes(token.session()))
        .setEpoch(token.epoch())
        .setClassName(token.className())
        .setGroup(bytes(token.group()))
        .setToClient(token.toClient())
        .setFromClient(token.fromClient())
        .setServer(token.server())
        .setIssuedMs(token.issued())
        .setExpiresMs(token.expires())
        .build();
    String signed = VERSION + "." + key.id() + "." + TO_TEXT.encodeToString(payload.toByteArray());
    String text = signed + "." + TO_TEXT.encodeToString(mac(key, signed));
    if (text.length() > LONGEST) {
      throw new IllegalArgumentException("a token of " + text.length() + " bytes is over " + LONGEST);
    }
    return text;
  }

  /** Reads a token made with any key of the ring. The MAC is checked before any of the payload is. */
  public Token read(String text, KeyRing ring) throws TokenException {
    Matcher parts = text.length() > LONGEST ? null : TEXT.matcher(text);
    if (parts == null || !parts.matches()) {
      throw new TokenException(isOtherVersion(text) ? TokenFault.VERSION : TokenFault.SHAPE);
    }
    if (!parts.group(1).equals(Integer.toString(VERSION))) {
      throw new TokenException(TokenFault.VERSION);
    }
    Key key = ring.find(parts.group(2));
    if (key == null) {
      throw new TokenException(TokenFault.KEY);
    }
    byte[] mac = decoded(parts.group(4));
    if (!MessageDigest.isEqual(mac(key, text.substring(0, parts.start(4) - 1)), mac)) {
      throw new TokenException(TokenFault.FORGED);
    }
    return payload(decoded(parts.group(3)));
  }

  /** Later versions may have other parts. */
  private static boolean isOtherVersion(String text) {
    Matcher matcher = text.length() > LONGEST ? null : OTHER_VERSION.matcher(text);
    return matcher != null && matcher.matches() && !matcher.group(1).equals(Integer.toString(VERSION));
  }

  private static Token payload(byte[] bytes) throws TokenException {
    try {
      TokenPayload payload = TokenPayload.parseFrom(bytes);
      if (payload.getVersion() != VERSION) {
        throw new TokenException(TokenFault.VERSION);
      }
      if (payload.getSession().size() != SESSION_BYTES) {
        throw new TokenException(TokenFault.SHAPE);
      }
      return new Token(hex(payload.getSession()), payload.getEpoch(), payload.getClassName(), hex(payload.getGroup()),
          payload.getToClient(), payload.getFromClient(), payload.getServer(), payload.getIssuedMs(),
          payload.getExpiresMs());
    } catch (InvalidProtocolBufferException e) {
      throw new TokenException(TokenFault.SHAPE);
    }
  }

  private byte[] mac(Key key, String signed) {
    try {
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(signed.getBytes(StandardCharsets.US_ASCII));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("a secret of " + key.secret().length + " bytes is no key", e);
    }
  }

  /** A text whose last character has bits left over is none that this program wrote. */
  private static byte[] decoded(String text) throws TokenException {
    try {
      byte[] bytes = FROM_TEXT.decode(text);
      if (!TO_TEXT.encodeToString(bytes).equals(text)) {
        throw new TokenException(TokenFault.SHAPE);
      }
      return bytes;
    } catch (IllegalArgumentException e) {
      throw new TokenException(TokenFault.SHAPE);
    }
  }

  private static ByteString bytes(String hex) {
    return ByteString.copyFrom(HexFormat.of().parseHex(hex));
  }

  private static String hex(ByteString bytes) {
    return HexFormat.of().formatHex(bytes.toByteArray());
  }
}
