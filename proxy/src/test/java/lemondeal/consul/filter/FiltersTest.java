package lemondeal.consul.filter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import lemondeal.consul.filter.Filter.Operator;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Filter expressions that are parsed, checked, and rejected with the column of the error. */
class FiltersTest {
  private static Filter.Match match(String expression) throws FilterException {
    return (Filter.Match) Filters.parse(expression);
  }

  private static String rejectionMessage(String expression) {
    return assertThrows(FilterException.class, () -> Filters.check(Filters.parse(expression)), expression).getMessage();
  }

  private static void assertStartsWith(String start, String message) {
    assertTrue(message.startsWith(start), message);
  }

  @Example
  void parsesEveryComparison() throws FilterException {
    assertEquals(Operator.EQUAL, match("Service.ID == web").operator());
    assertEquals("a b", match("Service.Meta.pool != \"a b\"").value());
    assertEquals(List.of("Service", "Meta", "the pool"),
        match("Service.Meta[\"the pool\"] == `x\"y`").selector().path());
    assertEquals("x\"y", match("Service.Meta[`p`] == `x\"y`").value());
    assertEquals(Operator.IN, match("Service.Tags contains primary").operator());
    assertEquals(match("Service.Tags contains primary").value(), match("primary in Service.Tags").value());
    assertEquals(Operator.NOT_IN, match("primary not in Service.Tags").operator());
    assertEquals(Operator.NOT_IN, match("Service.Tags not contains primary").operator());
    assertEquals(Operator.EMPTY, match("Node.Meta is empty").operator());
    assertEquals(Operator.NOT_EMPTY, match("Node.Meta is not empty").operator());
    assertEquals(Operator.MATCHES, match("Node.Node matches \"^a.*\"").operator());
    assertEquals(Operator.NOT_MATCHES, match("Node.Node not matches \"^a.*\"").operator());
    assertEquals("-3", match("Service.Port == -3").value());
    assertEquals(List.of("Service", "Meta", "in"), match("Service.Meta.in == x").selector().path(),
        "a keyword is allowed as a key");
  }

  @Example
  void notBindsTighterThanAndTighterThanOr() throws FilterException {
    Filter.Or or = (Filter.Or) Filters.parse("Service.ID == a or not Service.ID == b and Service.ID == c");
    assertEquals("a", ((Filter.Match) or.left()).value());
    Filter.And and = (Filter.And) or.right();
    assertTrue(and.left() instanceof Filter.Not);
    assertTrue(Filters.parse("(Service.ID == a or Service.ID == b) and Service.ID == c") instanceof Filter.And);
  }

  @Example
  void errorNamesTheColumnAndWhatIsAllowed() {
    assertStartsWith("column 15: found the end; allowed: ", rejectionMessage("Service.ID == "));
    assertStartsWith("column 12: found a character that is not part of any expression",
        rejectionMessage("Service.ID = x"));
    assertStartsWith("column 17: found the end; allowed: ')'", rejectionMessage("(Service.ID == x"));
    assertStartsWith("column 1: found the field Service.Pool; allowed: Node.ID", rejectionMessage("Service.Pool == x"));
    assertEquals("column 24: found 'matches' on Service.Port; allowed: ==, !=",
        rejectionMessage("Service.ID == x and (  Service.Port matches 1)"));
    assertEquals("column 1: found 'x' for Service.Port; allowed: a whole number",
        rejectionMessage("Service.Port == x"));
    assertEquals("column 1: found 'yes' for Service.Connect.Native; allowed: true or false",
        rejectionMessage("Service.Connect.Native == yes"));
    assertTrue(rejectionMessage("Node.Node matches \"(\"").contains("a regular expression"));
    assertTrue(rejectionMessage("not ".repeat(5_000) + "Service.ID == x").contains("at most 100"));
    assertTrue(rejectionMessage("(".repeat(5_000)).contains("at most 100"));
    assertStartsWith("column 1: found the end", rejectionMessage(""));
  }

  private static final String[] TOKENS = {"Service.ID", "Node.Meta.a", "Service.Port", "Service.Tags", "Checks", "==",
      "!=", "in", "not", "and", "or", "is", "empty", "contains", "matches", "(", ")", "\"a b\"", "`x`", "7", "-1.5",
      "[", "]", ".", "x", "\"", "=", "§", "\u0000"};

  /** Any sequence of tokens is parsed or is rejected with a column within the expression. */
  @Property(seed = "11", tries = 2000)
  void anyTokenSequenceParsesOrIsRejectedWithAColumn(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(12); i >= 0; i--) {
      text.append(TOKENS[random.nextInt(TOKENS.length)]).append(random.nextInt(4) == 0 ? "" : " ");
    }
    try {
      Filters.check(Filters.parse(text.toString()));
    } catch (FilterException e) {
      assertTrue(e.column() >= 1 && e.column() <= text.length() + 1, text + " -> " + e.getMessage());
      assertTrue(e.getMessage().contains("; allowed: ") || e.getMessage().contains("regular"), e.getMessage());
    }
  }

  private static Filter randomFilter(Random random, int depth) {
    int kind = random.nextInt(depth > 4 ? 1 : 4);
    return switch (kind) {
      case 1 -> new Filter.And(randomFilter(random, depth + 1), randomFilter(random, depth + 1));
      case 2 -> new Filter.Or(randomFilter(random, depth + 1), randomFilter(random, depth + 1));
      case 3 -> new Filter.Not(randomFilter(random, depth + 1));
      default -> {
        Operator operator = Operator.values()[random.nextInt(Operator.values().length)];
        boolean withoutValue = operator == Operator.EMPTY || operator == Operator.NOT_EMPTY;
        yield new Filter.Match(new Filter.Selector(List.of("Service", "Meta", "k" + random.nextInt(9)), 0), operator,
            withoutValue ? "" : "v " + random.nextInt(9));
      }
    };
  }

  private static String format(Filter filter) {
    if (filter instanceof Filter.And and) {
      return "(" + format(and.left()) + ") and (" + format(and.right()) + ")";
    } else if (filter instanceof Filter.Or or) {
      return "(" + format(or.left()) + ") or (" + format(or.right()) + ")";
    } else if (filter instanceof Filter.Not not) {
      return "not (" + format(not.operand()) + ")";
    }
    Filter.Match match = (Filter.Match) filter;
    return switch (match.operator()) {
      case EMPTY, NOT_EMPTY -> match.selector() + " " + match.operator().text();
      case IN, NOT_IN -> "\"" + match.value() + "\" " + match.operator().text() + " " + match.selector();
      default -> match.selector() + " " + match.operator().text() + " \"" + match.value() + "\"";
    };
  }

  /** A filter that is formatted and parsed again is unchanged. */
  @Property(seed = "12", tries = 500)
  void formattedFilterParsesToTheSameFilter(@ForAll long seed) throws FilterException {
    Filter filter = randomFilter(new Random(seed), 0);
    assertEquals(format(filter), format(Filters.parse(format(filter))));
  }
}
