package lemondeal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.codec.Json;
import lemondeal.codec.ProtocolException;

/** Shuffles the keys of a JSON object at every depth; lists keep their order. */
public final class ShuffledJson {
  private ShuffledJson() {}

  public static String of(String object, Random random) {
    try {
      StringBuilder out = new StringBuilder();
      write(shuffled(Json.parseObject(object), random), out);
      return out.toString();
    } catch (ProtocolException e) {
      throw new AssertionError(e);
    }
  }

  private static Object shuffled(Object value, Random random) {
    if (value instanceof List<?> list) {
      return list.stream().map(element -> shuffled(element, random)).toList();
    }
    if (!(value instanceof Map<?, ?> map)) {
      return value;
    }
    List<Object> keys = new ArrayList<>(map.keySet());
    Collections.shuffle(keys, random);
    Map<Object, Object> shuffled = new LinkedHashMap<>();
    keys.forEach(key -> shuffled.put(key, shuffled(map.get(key), random)));
    return shuffled;
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator).append('"').append(entry.getKey()).append("\":");
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else {
      out.append(value instanceof String ? "\"" + value + "\"" : String.valueOf(value));
    }
  }
}
