package lemondeal.benchlink;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import lemondeal.codec.Json;

/** Reads the values of one JSON array in sequence; null counts as missing. */
final class JsonArrayReader {
  private final JsonParser parser;
  private String context = "";
  private boolean ended;

  JsonArrayReader(JsonParser parser) {
    this.parser = parser;
  }

  /** Begins an array; the parser is at its opening bracket. */
  void begin(String name) {
    context = name;
    ended = false;
  }

  void setContext(String name) {
    context = name;
  }

  /** Advances to the next value; false if it is null or the array has ended. */
  private boolean next() throws IOException {
    if (ended) {
      return false;
    }
    JsonToken token = parser.nextToken();
    if (token == JsonToken.END_ARRAY) {
      ended = true;
      return false;
    }
    if (token == null) {
      throw new WireException("unexpected end of input in " + context);
    }
    return token != JsonToken.VALUE_NULL;
  }

  /** Skips any further values of the array. */
  void skipRemaining() throws IOException {
    while (!ended) {
      if (next()) {
        parser.skipChildren();
      }
    }
  }

  String string(String field) throws IOException {
    String text = stringOrNull(field);
    if (text == null) {
      throw new WireException(context + ": " + field + " is missing");
    }
    return text;
  }

  String stringOrNull(String field) throws IOException {
    if (!next()) {
      return null;
    }
    expect(parser.currentToken() == JsonToken.VALUE_STRING, field, "a string");
    return parser.getText();
  }

  long wholeNumber(String field) throws IOException {
    if (!next()) {
      throw new WireException(context + ": " + field + " is missing");
    }
    return currentWholeNumber(field);
  }

  long wholeNumber(String field, long defaultValue) throws IOException {
    return next() ? currentWholeNumber(field) : defaultValue;
  }

  private long currentWholeNumber(String field) throws IOException {
    expect(parser.currentToken() == JsonToken.VALUE_NUMBER_INT, field, "a whole number");
    // Seeds and tokens may use all 64 bits; values beyond a signed long wrap.
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? parser.getBigIntegerValue().longValue() : parser.getLongValue();
  }

  double number(String field, double defaultValue) throws IOException {
    if (!next()) {
      return defaultValue;
    }
    expect(parser.currentToken().isNumeric(), field, "a number");
    return parser.getDoubleValue();
  }

  boolean flag(String field) throws IOException {
    if (!next()) {
      return false;
    }
    expect(parser.currentToken().isBoolean(), field, "true or false");
    return parser.getBooleanValue();
  }

  /** Enters the array that is the next value; false if it is absent. */
  boolean enterArray(String field) throws IOException {
    if (!next()) {
      return false;
    }
    expect(parser.currentToken() == JsonToken.START_ARRAY, field, "an array");
    return true;
  }

  /** Advances to the next array inside the entered one; false at its end. */
  boolean nextArray(String field) throws IOException {
    JsonToken token = parser.nextToken();
    if (token == JsonToken.END_ARRAY) {
      return false;
    }
    expect(token == JsonToken.START_ARRAY, field, "an array");
    return true;
  }

  /** An object, with nested values as maps, lists, strings, numbers and booleans; null if absent. */
  Map<String, Object> objectOrNull(String field) throws IOException {
    if (!next()) {
      return null;
    }
    expect(parser.currentToken() == JsonToken.START_OBJECT, field, "an object");
    return Json.readObject(parser);
  }

  private void expect(boolean condition, String field, String expected) {
    if (!condition) {
      throw new WireException(context + ": " + field + " should be " + expected + ", found " + parser.currentToken());
    }
  }
}
