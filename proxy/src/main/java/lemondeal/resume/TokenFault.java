package lemondeal.resume;

/** What is wrong with a token before its content is looked at. */
public enum TokenFault {
  /** Not the text of a token: cut, too long, or of other characters. */
  SHAPE,
  /** Of a form or payload version that this program does not know. */
  VERSION,
  /** Its key is not accepted here. */
  KEY,
  /** Not made with the key that it names. */
  FORGED
}
