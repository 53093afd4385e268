package lemondeal.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One JSON object of the settings or the configuration, with typed access to its values. Absent values read as zero,
 * false or empty.
 *
 * @param name the path of the object, for error messages
 */
record Section(String name, Map<String, Object> values) {

  @SuppressWarnings("unchecked")
  Section section(String key) {
    Object value = values.get(key);
    check(value == null || value instanceof Map, key, "an object");
    return new Section(name + "." + key, value == null ? Map.of() : (Map<String, Object>) value);
  }

  @SuppressWarnings("unchecked")
  List<Section> sections(String key) {
    List<Section> sections = new ArrayList<>();
    for (Object value : list(key)) {
      check(value instanceof Map, key, "a list of objects");
      sections.add(new Section(name + "." + key + "[" + sections.size() + "]", (Map<String, Object>) value));
    }
    return sections;
  }

  @SuppressWarnings("unchecked")
  List<Object> list(String key) {
    Object value = values.get(key);
    check(value == null || value instanceof List, key, "a list");
    return value == null ? List.of() : (List<Object>) value;
  }

  double number(String key) {
    Object value = values.get(key);
    check(value == null || value instanceof Double, key, "a number");
    return value == null ? 0 : (Double) value;
  }

  long wholeNumber(String key) {
    return (long) number(key);
  }

  long wholeNumber(String key, long defaultValue) {
    return values.containsKey(key) ? wholeNumber(key) : defaultValue;
  }

  boolean flag(String key) {
    Object value = values.get(key);
    check(value == null || value instanceof Boolean, key, "true or false");
    return value != null && (Boolean) value;
  }

  String string(String key, String defaultValue) {
    Object value = values.get(key);
    check(value == null || value instanceof String, key, "a string");
    return value == null ? defaultValue : (String) value;
  }

  /** The error for an invalid value: its path, what was found and what is allowed there. */
  ConfigException fault(String key, String found, String allowed) {
    return new ConfigException(name + "." + key + ": found " + found + "; allowed: " + allowed);
  }

  private void check(boolean valid, String key, String expected) {
    if (!valid) {
      Object value = values.get(key);
      String found = value instanceof Map ? "an object" : value instanceof List ? "a list" : String.valueOf(value);
      throw new ConfigException(name + "." + key + " should be " + expected + ", found " + found);
    }
  }
}
