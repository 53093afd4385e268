package lemondeal.codec;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON as maps, lists, strings, doubles and booleans. Settings and server lists are small and read rarely. */
public final class Json {
  private static final JsonFactory FACTORY = new JsonFactory();

  private Json() {}

  /** Reads a text that consists of one object. */
  public static Map<String, Object> parseObject(String text) throws ProtocolException {
    try (JsonParser in = FACTORY.createParser(text)) {
      if (in.nextToken() != JsonToken.START_OBJECT) {
        throw new ProtocolException("not a JSON object");
      }
      Map<String, Object> object = readObject(in);
      if (in.nextToken() != null) {
        throw new ProtocolException("unexpected text after the JSON object");
      }
      return object;
    } catch (JsonProcessingException e) {
      throw new ProtocolException("not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new ProtocolException("cannot read JSON: " + e.getMessage());
    }
  }

  /** Reads the object whose opening brace is the current token. */
  public static Map<String, Object> readObject(JsonParser in) throws IOException {
    Map<String, Object> map = new LinkedHashMap<>();
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      in.nextToken();
      map.put(name, readValue(in));
    }
    return map;
  }

  private static Object readValue(JsonParser in) throws IOException {
    switch (in.currentToken()) {
      case START_OBJECT:
        return readObject(in);
      case START_ARRAY:
        List<Object> list = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
          list.add(readValue(in));
        }
        return list;
      case VALUE_STRING:
        return in.getText();
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT:
        return in.getDoubleValue();
      case VALUE_TRUE, VALUE_FALSE:
        return in.getBooleanValue();
      default:
        return null;
    }
  }
}
