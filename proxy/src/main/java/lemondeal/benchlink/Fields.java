package lemondeal.benchlink;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Map;
import lemondeal.codec.Json;

/** Reads the values of one array in sequence; null and missing values read alike. */
final class Fields {
  private final JsonParser in;
  private String where = "";
  private boolean ended;

  Fields(JsonParser in) {
    this.in = in;
  }

  /** Starts on an array whose opening bracket the parser stands on. */
  void open(String name) {
    where = name;
    ended = false;
  }

  void inside(String name) {
    where = name;
  }

  /** Moves to the next value; false if it is null or the array is over. */
  private boolean next() throws IOException {
    if (ended) {
      return false;
    }
    JsonToken token = in.nextToken();
    if (token == JsonToken.END_ARRAY) {
      ended = true;
      return false;
    }
    if (token == null) {
      throw new WireException("input ends inside " + where);
    }
    return token != JsonToken.VALUE_NULL;
  }

  /** Passes over whatever stands behind the known values. */
  void close() throws IOException {
    while (!ended) {
      if (next()) {
        in.skipChildren();
      }
    }
  }

  String text(String field) throws IOException {
    String text = textOrNull(field);
    if (text == null) {
      throw new WireException(where + ": " + field + " is missing");
    }
    return text;
  }

  String textOrNull(String field) throws IOException {
    if (!next()) {
      return null;
    }
    expect(in.currentToken() == JsonToken.VALUE_STRING, field, "a string");
    return in.getText();
  }

  long whole(String field) throws IOException {
    if (!next()) {
      throw new WireException(where + ": " + field + " is missing");
    }
    return wholeHere(field);
  }

  long whole(String field, long absent) throws IOException {
    return next() ? wholeHere(field) : absent;
  }

  private long wholeHere(String field) throws IOException {
    expect(in.currentToken() == JsonToken.VALUE_NUMBER_INT, field, "a whole number");
    // Seeds and tokens may use all 64 bits; what lies beyond a signed long wraps.
    return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? in.getBigIntegerValue().longValue() : in.getLongValue();
  }

  double number(String field, double absent) throws IOException {
    if (!next()) {
      return absent;
    }
    expect(in.currentToken().isNumeric(), field, "a number");
    return in.getDoubleValue();
  }

  boolean flag(String field) throws IOException {
    if (!next()) {
      return false;
    }
    expect(in.currentToken().isBoolean(), field, "true or false");
    return in.getBooleanValue();
  }

  /** Steps into the array that is the next value; false if it is absent. */
  boolean enterArray(String field) throws IOException {
    if (!next()) {
      return false;
    }
    expect(in.currentToken() == JsonToken.START_ARRAY, field, "an array");
    return true;
  }

  /** Steps to the next array inside the one entered; false at its end. */
  boolean nextArray(String field) throws IOException {
    JsonToken token = in.nextToken();
    if (token == JsonToken.END_ARRAY) {
      return false;
    }
    expect(token == JsonToken.START_ARRAY, field, "an array");
    return true;
  }

  /** An object of any depth as maps, lists, strings, numbers and booleans; null if absent. */
  Map<String, Object> objectOrNull(String field) throws IOException {
    if (!next()) {
      return null;
    }
    expect(in.currentToken() == JsonToken.START_OBJECT, field, "an object");
    return Json.objectHere(in);
  }

  private void expect(boolean holds, String field, String what) {
    if (!holds) {
      throw new WireException(where + ": " + field + " should be " + what + ", found " + in.currentToken());
    }
  }
}
