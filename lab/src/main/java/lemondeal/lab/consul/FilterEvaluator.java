package lemondeal.lab.consul;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import lemondeal.consul.filter.Filter;

/**
 * Evaluates a filter expression on an entry with Consul's semantics: a selector through a list matches if any element
 * matches; a missing map key makes a comparison false and its negation true.
 */
final class FilterEvaluator {
  private FilterEvaluator() {}

  static boolean matches(Filter filter, JsonNode entry) {
    if (filter instanceof Filter.And and) {
      return matches(and.left(), entry) && matches(and.right(), entry);
    } else if (filter instanceof Filter.Or or) {
      return matches(or.left(), entry) || matches(or.right(), entry);
    } else if (filter instanceof Filter.Not not) {
      return !matches(not.operand(), entry);
    }
    Filter.Match match = (Filter.Match) filter;
    return switch (match.operator()) {
      case EQUAL -> anyValue(match, entry, field -> field.asText().equals(match.value()));
      case UNEQUAL -> !anyValue(match, entry, field -> field.asText().equals(match.value()));
      case MATCHES -> anyValue(match, entry, field -> Pattern.compile(match.value()).matcher(field.asText()).find());
      case NOT_MATCHES -> !anyValue(match, entry,
          field -> Pattern.compile(match.value()).matcher(field.asText()).find());
      case IN -> anyValue(match, entry, field -> contains(field, match.value()));
      case NOT_IN -> !anyValue(match, entry, field -> contains(field, match.value()));
      case EMPTY -> !anyValue(match, entry, FilterEvaluator::isNonEmpty);
      case NOT_EMPTY -> anyValue(match, entry, FilterEvaluator::isNonEmpty);
    };
  }

  private static boolean isNonEmpty(JsonNode field) {
    return field.isContainerNode() ? !field.isEmpty() : !field.asText().isEmpty();
  }

  private static boolean contains(JsonNode field, String value) {
    if (field.isArray()) {
      for (JsonNode element : field) {
        if (element.asText().equals(value)) {
          return true;
        }
      }
      return false;
    }
    return field.isObject() ? field.has(value) : field.asText().contains(value);
  }

  private static boolean anyValue(Filter.Match match, JsonNode entry, Predicate<JsonNode> test) {
    List<JsonNode> current = List.of(entry);
    for (String key : match.selector().path()) {
      List<JsonNode> next = new ArrayList<>();
      for (JsonNode node : current) {
        if (node.isArray()) {
          node.forEach(element -> descend(element, key, next));
        } else {
          descend(node, key, next);
        }
      }
      current = next;
    }
    return current.stream().anyMatch(test);
  }

  private static void descend(JsonNode from, String key, List<JsonNode> to) {
    if (from.has(key)) {
      to.add(from.get(key));
    }
  }
}
