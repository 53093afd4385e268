package lemondeal.codec;

/**
 * Assembles JSON objects from lines: usually one line each, several where they are indented. A truncated line must not
 * absorb the lines behind it, so a line that cannot continue the current object is an error at once.
 */
public final class JsonObjectAssembler {
  private final int maxCharacters;
  private final StringBuilder text = new StringBuilder();
  private int depth;
  private boolean inString;
  private boolean escaped;
  /** The last character that is not white space. */
  private char lastNonBlank;

  /** @param maxCharacters longest object, not counting line ends and indentation */
  public JsonObjectAssembler(int maxCharacters) {
    this.maxCharacters = maxCharacters;
  }

  /** Whether an object has begun and is incomplete. */
  public boolean isMidObject() {
    return depth > 0;
  }

  /**
   * Adds a line. Outside an object the line must not be empty.
   *
   * @return the text of the object that this line completes, not validated any further, or null if it is incomplete
   * @throws ProtocolException if the line cannot continue the current object; nothing more can be read then
   */
  public String add(String line) throws ProtocolException {
    if (isMidObject() && !continuesObject(line)) {
      throw new ProtocolException("a JSON object is incomplete before: " + OpenLine.abbreviate(line));
    }
    // A string cannot span lines, so white space at the ends of a line has no meaning.
    String stripped = line.strip();
    if (text.length() + stripped.length() > maxCharacters) {
      throw new ProtocolException("a JSON object is longer than " + maxCharacters + " characters");
    }
    text.append(stripped);
    for (int i = 0; i < stripped.length(); i++) {
      trackNesting(stripped.charAt(i));
    }
    if (inString) {
      throw new ProtocolException("a JSON string is not closed at the end of a line");
    }
    if (isMidObject()) {
      return null;
    }
    String object = text.toString();
    text.setLength(0);
    return object;
  }

  /** A line inside an object is not empty, and a brace at its start begins a new object unless a value is expected. */
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
