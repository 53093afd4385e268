package lemondeal.resume;

/** Why a token is rejected before its content is evaluated. */
public enum TokenFault {
  /** Not in the format of a token: truncated, too long, or with invalid characters. */
  SHAPE,
  /** The format or payload version is unknown to this program. */
  VERSION,
  /** The key is not among the accepted ones. */
  KEY,
  /** The MAC does not match the key that the token names. */
  FORGED
}
