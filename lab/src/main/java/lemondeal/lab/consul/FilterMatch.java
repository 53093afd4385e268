package lemondeal.lab.consul;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import lemondeal.consul.filter.Filter;

/**
 * Whether an entry passes a filter expression, as Consul decides it: a selector that leads through a list holds if any
 * element does; a key that a map lacks makes a comparison false, and its negation true.
 */
final class FilterMatch {
  private FilterMatch() {}

  static boolean passes(Filter filter, JsonNode entry) {
    if (filter instanceof Filter.And both) {
      return passes(both.left(), entry) && passes(both.right(), entry);
    } else if (filter instanceof Filter.Or either) {
      return passes(either.left(), entry) || passes(either.right(), entry);
    } else if (filter instanceof Filter.Not not) {
      return !passes(not.operand(), entry);
    }
    Filter.Match match = (Filter.Match) filter;
    return switch (match.operator()) {
      case EQUAL -> any(match, entry, field -> field.asText().equals(match.value()));
      case UNEQUAL -> !any(match, entry, field -> field.asText().equals(match.value()));
      case MATCHES -> any(match, entry, field -> Pattern.compile(match.value()).matcher(field.asText()).find());
      case NOT_MATCHES -> !any(match, entry, field -> Pattern.compile(match.value()).matcher(field.asText()).find());
      case IN -> any(match, entry, field -> holds(field, match.value()));
      case NOT_IN -> !any(match, entry, field -> holds(field, match.value()));
      case EMPTY -> !any(match, entry, FilterMatch::isFull);
      case NOT_EMPTY -> any(match, entry, FilterMatch::isFull);
    };
  }

  private static boolean isFull(JsonNode field) {
    return field.isContainerNode() ? !field.isEmpty() : !field.asText().isEmpty();
  }

  private static boolean holds(JsonNode field, String value) {
    if (field.isArray()) {
      for (JsonNode one : field) {
        if (one.asText().equals(value)) {
          return true;
        }
      }
      return false;
    }
    return field.isObject() ? field.has(value) : field.asText().contains(value);
  }

  private static boolean any(Filter.Match match, JsonNode entry, Predicate<JsonNode> test) {
    List<JsonNode> at = List.of(entry);
    for (String key : match.selector().path()) {
      List<JsonNode> next = new ArrayList<>();
      for (JsonNode one : at) {
        if (one.isArray()) {
          one.forEach(element -> step(element, key, next));
        } else {
          step(one, key, next);
        }
      }
      at = next;
    }
    return at.stream().anyMatch(test);
  }

  private static void step(JsonNode from, String key, List<JsonNode> to) {
    if (from.has(key)) {
      to.add(from.get(key));
    }
  }
}
