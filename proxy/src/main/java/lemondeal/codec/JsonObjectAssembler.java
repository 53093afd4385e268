package lemondeal.codec;

/**
 * Puts JSON objects together from the lines that they come in: one line each as a rule, several where they come indented.
 * A line that was cut off must not swallow those behind it, so whatever can't go on an object is told at once.
 */
public final class JsonObjectAssembler {
  private final int maxCharacters;
  private final StringBuilder text = new StringBuilder();
  private int depth;
  private boolean inString;
  private boolean escaped;
  /** The last character that is no white space. */
  private char lastNonBlank;

  /** {@code longest} counts the characters of an object, its line ends and what its lines are indented by left out. */
  public JsonObjectAssembler(int maxCharacters) {
    this.maxCharacters = maxCharacters;
  }

  /** Whether an object has begun and is not whole. */
  public boolean isMidObject() {
    return depth > 0;
  }

  /**
   * Takes a line that is not empty, or an empty one that is to end no object.
   *
   * @return the object that is whole with it, not checked any further, or null if more has to come
   * @throws ProtocolException if the line does not go on the object that has begun; nothing more can be read then
   */
  public String add(String line) throws ProtocolException {
    if (isMidObject() && !continuesObject(line)) {
      throw new ProtocolException("a JSON object breaks off before: " + OpenLine.abbreviate(line));
    }
    // No string goes on from one line to the next, so that blanks at a line's ends mean nothing.
    String stripped = line.strip();
    if (text.length() + stripped.length() > maxCharacters) {
      throw new ProtocolException("a JSON object is longer than " + maxCharacters + " characters");
    }
    text.append(stripped);
    for (int i = 0; i < stripped.length(); i++) {
      trackNesting(stripped.charAt(i));
    }
    if (inString) {
      throw new ProtocolException("a JSON string breaks off at a line's end");
    }
    if (isMidObject()) {
      return null;
    }
    String object = text.toString();
    text.setLength(0);
    return object;
  }

  /** No line in an object is empty, and a brace at a line's start begins the next object unless a value may stand there. */
  private boolean continuesObject(String line) {
    return !line.isBlank() && (line.charAt(0) != '{' || ",[:".indexOf(lastNonBlank) >= 0);
  }

  private void trackNesting(char c) {
    lastNonBlank = Character.isWhitespace(c) ? lastNonBlank : c;
    if (inString) {
      inString = escaped || c != '"';
      escaped = !escaped && c == '\\';
    } else if (c == '"') {
      inString = true;
    } else if (c == '{' || c == '[') {
      depth++;
    } else if (c == '}' || c == ']') {
      depth--;
    }
  }
}
