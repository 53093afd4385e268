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

/** Filter expressions read, checked, and refused with the place of their mistake. */
class FiltersTest {
  private static Filter.Match match(String expression) throws FilterException {
    return (Filter.Match) Filters.parse(expression);
  }

  private static String refused(String expression) {
    return assertThrows(FilterException.class, () -> Filters.check(Filters.parse(expression)), expression).getMessage();
  }

  private static void assertStart(String start, String message) {
    assertTrue(message.startsWith(start), message);
  }

  @Example
  void everyComparisonIsRead() throws FilterException {
    assertEquals(Operator.EQUAL, match("Service.ID == web").operator());
    assertEquals("a b", match("Service.Meta.pool != \"a b\"").value());
    assertEquals(List.of("Service", "Meta", "the pool"), match("Service.Meta[\"the pool\"] == `x\"y`").selector().path());
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
    assertEquals(List.of("Service", "Meta", "in"), match("Service.Meta.in == x").selector().path(), "a keyword as a key");
  }

  @Example
  void notBindsBeforeAndBeforeOr() throws FilterException {
    Filter.Either either = (Filter.Either) Filters.parse("Service.ID == a or not Service.ID == b and Service.ID == c");
    assertEquals("a", ((Filter.Match) either.left()).value());
    Filter.Both both = (Filter.Both) either.right();
    assertTrue(both.left() instanceof Filter.Not);
    assertTrue(Filters.parse("(Service.ID == a or Service.ID == b) and Service.ID == c") instanceof Filter.Both);
  }

  @Example
  void aMistakeIsToldWithItsPlaceAndWhatIsAllowed() {
    assertStart("column 15: found the end; allowed: ", refused("Service.ID == "));
    assertStart("column 12: found a character that no expression has", refused("Service.ID = x"));
    assertStart("column 17: found the end; allowed: ')'", refused("(Service.ID == x"));
    assertStart("column 1: found the field Service.Pool; allowed: Node.ID", refused("Service.Pool == x"));
    assertEquals("column 24: found 'matches' on Service.Port; allowed: ==, !=",
        refused("Service.ID == x and (  Service.Port matches 1)"));
    assertEquals("column 1: found 'x' for Service.Port; allowed: a whole number", refused("Service.Port == x"));
    assertEquals("column 1: found 'yes' for Service.Connect.Native; allowed: true or false",
        refused("Service.Connect.Native == yes"));
    assertTrue(refused("Node.Node matches \"(\"").contains("a regular expression"));
    assertTrue(refused("not ".repeat(5_000) + "Service.ID == x").contains("at most 100"));
    assertTrue(refused("(".repeat(5_000)).contains("at most 100"));
    assertStart("column 1: found the end", refused(""));
  }

  private static final String[] WORDS = {"Service.ID", "Node.Meta.a", "Service.Port", "Service.Tags", "Checks", "==",
      "!=", "in", "not", "and", "or", "is", "empty", "contains", "matches", "(", ")", "\"a b\"", "`x`", "7", "-1.5", "[",
      "]", ".", "x", "\"", "=", "§", "\u0000"};

  /** Whatever words follow each other: a filter, or a refusal whose place lies within the expression. */
  @Property(seed = "11", tries = 2000)
  void anyWordsAreAFilterOrARefusalWithItsPlace(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(12); i >= 0; i--) {
      text.append(WORDS[random.nextInt(WORDS.length)]).append(random.nextInt(4) == 0 ? "" : " ");
    }
    try {
      Filters.check(Filters.parse(text.toString()));
    } catch (FilterException e) {
      assertTrue(e.column() >= 1 && e.column() <= text.length() + 1, text + " -> " + e.getMessage());
      assertTrue(e.getMessage().contains("; allowed: ") || e.getMessage().contains("regular"), e.getMessage());
    }
  }

  private static Filter random(Random random, int depth) {
    int kind = random.nextInt(depth > 4 ? 1 : 4);
    return switch (kind) {
      case 1 -> new Filter.Both(random(random, depth + 1), random(random, depth + 1));
      case 2 -> new Filter.Either(random(random, depth + 1), random(random, depth + 1));
      case 3 -> new Filter.Not(random(random, depth + 1));
      default -> {
        Operator operator = Operator.values()[random.nextInt(Operator.values().length)];
        boolean bare = operator == Operator.EMPTY || operator == Operator.NOT_EMPTY;
        yield new Filter.Match(new Filter.Selector(List.of("Service", "Meta", "k" + random.nextInt(9)), 0), operator,
            bare ? "" : "v " + random.nextInt(9));
      }
    };
  }

  private static String written(Filter filter) {
    if (filter instanceof Filter.Both both) {
      return "(" + written(both.left()) + ") and (" + written(both.right()) + ")";
    } else if (filter instanceof Filter.Either either) {
      return "(" + written(either.left()) + ") or (" + written(either.right()) + ")";
    } else if (filter instanceof Filter.Not not) {
      return "not (" + written(not.what()) + ")";
    }
    Filter.Match match = (Filter.Match) filter;
    return switch (match.operator()) {
      case EMPTY, NOT_EMPTY -> match.selector() + " " + match.operator().text();
      case IN, NOT_IN -> "\"" + match.value() + "\" " + match.operator().text() + " " + match.selector();
      default -> match.selector() + " " + match.operator().text() + " \"" + match.value() + "\"";
    };
  }

  /** A filter written out and read again says the same. */
  @Property(seed = "12", tries = 500)
  void whatIsWrittenIsReadTheSame(@ForAll long seed) throws FilterException {
    Filter filter = random(new Random(seed), 0);
    assertEquals(written(filter), written(Filters.parse(written(filter))));
  }
}
