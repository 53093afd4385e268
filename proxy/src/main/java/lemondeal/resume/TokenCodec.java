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
 * Encodes and decodes tokens as text, {@code 1.KEY.PAYLOAD.MAC}: the payload in protobuf, the MAC (HMAC-SHA256) over
 * everything before its dot, both in base64url without padding. None of the characters is special in a protocol line.
 * Not thread-safe.
 *
 * <p>Authenticated, not encrypted: a token contains nothing that is secret from its client. JOSE libraries are not
 * used, since a header that chooses its own algorithm is exactly what must be rejected here.
 */
public final class TokenCodec {
  /** Maximum length of a token's text in bytes. */
  public static final int MAX_LENGTH = 1024;
  private static final int VERSION = 1;
  private static final int SESSION_BYTES = 16;
  private static final int GROUP_BYTES = 8;
  private static final String ALGORITHM = "HmacSHA256";
  private static final Pattern TOKEN_PATTERN = Pattern.compile(
      "([0-9]{1,3})\\.([A-Za-z0-9_-]{1,32})\\.([A-Za-z0-9_-]{1,900})\\.([A-Za-z0-9_-]{43})");
  private static final Pattern VERSIONED_PATTERN = Pattern.compile("([0-9]{1,3})\\.[A-Za-z0-9_.-]+");
  private static final Base64.Encoder BASE64_ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder BASE64_DECODER = Base64.getUrlDecoder();

  private final Mac mac;
  private final MessageDigest digest;

  public TokenCodec() {
    try {
      mac = Mac.getInstance(ALGORITHM);
      digest = MessageDigest.getInstance("SHA-256");
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("a JDK must provide SHA-256 and " + ALGORITHM, e);
    }
  }

  /** The digest that represents a client's group in a token; empty for null. */
  public String groupDigest(String groupName) {
    if (groupName == null) {
      return "";
    }
    byte[] bytes = digest.digest(groupName.getBytes(StandardCharsets.ISO_8859_1));
    return HexFormat.of().formatHex(bytes, 0, GROUP_BYTES);
  }

  public String encode(Token token, Key key) {
    TokenPayload payload = TokenPayload.newBuilder()
        .setVersion(VERSION)
        .setSession(fromHex(token.session()))
        .setEpoch(token.epoch())
        .setClassName(token.className())
        .setGroup(fromHex(token.groupDigest()))
        .setToClient(token.linesToClient())
        .setFromClient(token.acknowledgedLines())
        .setServer(token.server())
        .setIssuedMs(token.issuedAt())
        .setExpiresMs(token.expiresAt())
        .build();
    String signedText = VERSION + "." + key.id() + "." + BASE64_ENCODER.encodeToString(payload.toByteArray());
    String text = signedText + "." + BASE64_ENCODER.encodeToString(computeMac(key, signedText));
    if (text.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("token of " + text.length() + " bytes is longer than " + MAX_LENGTH);
    }
    return text;
  }

  /** Decodes a token signed with any key of the ring. The MAC is verified before the payload is parsed. */
  public Token decode(String text, KeyRing keyRing) throws TokenException {
    Matcher parts = text.length() > MAX_LENGTH ? null : TOKEN_PATTERN.matcher(text);
    if (parts == null || !parts.matches()) {
      throw new TokenException(isOtherVersion(text) ? TokenFault.VERSION : TokenFault.SHAPE);
    }
    if (!parts.group(1).equals(Integer.toString(VERSION))) {
      throw new TokenException(TokenFault.VERSION);
    }
    Key key = keyRing.find(parts.group(2));
    if (key == null) {
      throw new TokenException(TokenFault.KEY);
    }
    byte[] receivedMac = decodeBase64(parts.group(4));
    if (!MessageDigest.isEqual(computeMac(key, text.substring(0, parts.start(4) - 1)), receivedMac)) {
      throw new TokenException(TokenFault.FORGED);
    }
    return parsePayload(decodeBase64(parts.group(3)));
  }

  /** Later versions may have a different format after the version number. */
  private static boolean isOtherVersion(String text) {
    Matcher matcher = text.length() > MAX_LENGTH ? null : VERSIONED_PATTERN.matcher(text);
    return matcher != null && matcher.matches() && !matcher.group(1).equals(Integer.toString(VERSION));
  }

  private static Token parsePayload(byte[] bytes) throws TokenException {
    try {
      TokenPayload payload = TokenPayload.parseFrom(bytes);
      if (payload.getVersion() != VERSION) {
        throw new TokenException(TokenFault.VERSION);
      }
      if (payload.getSession().size() != SESSION_BYTES) {
        throw new TokenException(TokenFault.SHAPE);
      }
      return new Token(toHex(payload.getSession()), payload.getEpoch(), payload.getClassName(),
          toHex(payload.getGroup()), payload.getToClient(), payload.getFromClient(), payload.getServer(),
          payload.getIssuedMs(), payload.getExpiresMs());
    } catch (InvalidProtocolBufferException e) {
      throw new TokenException(TokenFault.SHAPE);
    }
  }

  private byte[] computeMac(Key key, String signedText) {
    try {
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(signedText.getBytes(StandardCharsets.US_ASCII));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("a secret of " + key.secret().length + " bytes can't be used as a MAC key", e);
    }
  }

  /** Rejects text whose last character has unused bits set: this encoder never writes such text. */
  private static byte[] decodeBase64(String text) throws TokenException {
    try {
      byte[] bytes = BASE64_DECODER.decode(text);
      if (!BASE64_ENCODER.encodeToString(bytes).equals(text)) {
        throw new TokenException(TokenFault.SHAPE);
      }
      return bytes;
    } catch (IllegalArgumentException e) {
      throw new TokenException(TokenFault.SHAPE);
    }
  }

  private static ByteString fromHex(String hex) {
    return ByteString.copyFrom(HexFormat.of().parseHex(hex));
  }

  private static String toHex(ByteString bytes) {
    return HexFormat.of().formatHex(bytes.toByteArray());
  }
}
