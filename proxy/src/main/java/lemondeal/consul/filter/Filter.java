package lemondeal.consul.filter;

import java.util.List;

/** A filter expression as read, without regard to whether its selectors exist. Pure values. */
public sealed interface Filter {

  /** Both hold. */
  record And(Filter left, Filter right) implements Filter {}

  /** One holds at least. */
  record Or(Filter left, Filter right) implements Filter {}

  record Not(Filter operand) implements Filter {}

  /**
   * One comparison.
   *
   * @param value what is compared with, empty for {@link Operator#EMPTY} and {@link Operator#NOT_EMPTY}
   */
  record Match(Selector selector, Operator operator, String value) implements Filter {}

  /**
   * Which field: {@code Service.Meta.pool} or {@code Service.Meta["pool"]}.
   *
   * @param column of its first character in the expression, from 1
   */
  record Selector(List<String> path, int column) {
    @Override
    public String toString() {
      return String.join(".", path);
    }
  }

  /** How a field is compared. {@code contains} is {@code in} with its sides turned. */
  enum Operator {
    EQUAL("=="), UNEQUAL("!="), EMPTY("is empty"), NOT_EMPTY("is not empty"), IN("in"), NOT_IN("not in"),
    MATCHES("matches"), NOT_MATCHES("not matches");

    private final String text;

    Operator(String text) {
      this.text = text;
    }

    /** As it stands in an expression. */
    public String text() {
      return text;
    }
  }
}
