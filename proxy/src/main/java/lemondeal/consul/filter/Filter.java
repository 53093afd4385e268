package lemondeal.consul.filter;

import java.util.List;

/** A parsed filter expression; whether its selectors exist is not checked here. Immutable. */
public sealed interface Filter {

  /** Both operands hold. */
  record And(Filter left, Filter right) implements Filter {}

  /** At least one operand holds. */
  record Or(Filter left, Filter right) implements Filter {}

  record Not(Filter operand) implements Filter {}

  /**
   * One comparison.
   *
   * @param value the value to compare with, empty for {@link Operator#EMPTY} and {@link Operator#NOT_EMPTY}
   */
  record Match(Selector selector, Operator operator, String value) implements Filter {}

  /**
   * A field: {@code Service.Meta.pool} or {@code Service.Meta["pool"]}.
   *
   * @param column the column of its first character in the expression, from 1
   */
  record Selector(List<String> path, int column) {
    @Override
    public String toString() {
      return String.join(".", path);
    }
  }

  /** How a field is compared. {@code contains} is {@code in} with its operands swapped. */
  enum Operator {
    EQUAL("=="), UNEQUAL("!="), EMPTY("is empty"), NOT_EMPTY("is not empty"), IN("in"), NOT_IN("not in"),
    MATCHES("matches"), NOT_MATCHES("not matches");

    private final String text;

    Operator(String text) {
      this.text = text;
    }

    /** The operator as written in an expression. */
    public String text() {
      return text;
    }
  }
}
