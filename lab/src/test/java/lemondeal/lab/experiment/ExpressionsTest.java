package lemondeal.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.lab.emulator.Fault;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Faults and conditions are parsed, and invalid ones are rejected with the column of the error. */
class ExpressionsTest {
  private static final List<String> POOL_NAMES = List.of("large", "store");
  private static final List<String> FIGURES = List.of("served", "moved");
  private static final List<String> POLICIES = List.of("lemondeal", "random");

  private static Fault parseFault(String text) throws ExpressionException {
    return Expressions.parseFault(text, POOL_NAMES, 3);
  }

  private static String parseError(String text) {
    return assertThrows(ExpressionException.class, () -> parseFault(text), text).getMessage();
  }

  @Example
  void parsesEveryKindOfFault() throws ExpressionException {
    assertEquals(new Fault(12_000_000, Fault.Kind.SLOW, 3, "large", 4, 10_000_000),
        parseFault("at 12s slow 3 of large by 4 for 10s"));
    assertEquals(new Fault(500_000, Fault.Kind.HANG, 0, "servers", 1, 0), parseFault("at 500ms hang all of servers"));
    assertEquals(new Fault(60_000_000, Fault.Kind.KILL, 2, "proxies", 1, 1_500_000),
        parseFault("at 1m kill 2 of proxies for 1.5s"));
    assertEquals(new Fault(0, Fault.Kind.DRAIN, 1, "store", 1, 0), parseFault("at 0s drain 1 of store"),
        "the name of a server pool");
    assertEquals(new Fault(1_000_000, Fault.Kind.REPLACE, 2, "large", 1, 7_000_000),
        parseFault("at 1s replace 2 of large for 7s"));
    assertEquals(new Fault(1_000_000, Fault.Kind.CUT, 0, "", 2, 6_000_000), parseFault("at 1s cut zone 2 for 6s"));
    assertEquals(new Fault(1_000_000, Fault.Kind.DISCOVERY, 0, "", 1, 0), parseFault("at 1s discovery down"));
    assertEquals(new Fault(1_000_000, Fault.Kind.STORE, 0, "", 10, 0), parseFault("at 1s slow store by 10"));
    assertEquals(new Fault(1_000_000, Fault.Kind.RECONNECT, 0, "clients", 0.3, 0),
        parseFault("at 1s reconnect 0.3 of clients"));
  }

  @Example
  void errorsAreReportedWithTheirColumn() {
    assertEquals("column 4: found 'noon'; allowed: a time such as 10s", parseError("at noon kill 1 of large"));
    assertTrue(parseError("at 1s break 1 of large")
        .startsWith("column 7: found 'break'; allowed: 'slow', 'hang', 'kill'"));
    assertEquals("column 17: found 'small'; allowed: large, store, servers, proxies",
        parseError("at 1s kill 1 of small"));
    assertEquals("column 18: found 'proxies'; allowed: large, store, servers", parseError("at 1s drain 1 of proxies"));
    assertTrue(parseError("at 1s slow 3 of large").startsWith("column 22: found the end; allowed: 'by'"));
    assertEquals("column 16: found zone 3; allowed: 0 to 2", parseError("at 1s cut zone 3"));
    assertEquals("column 12: found 1.5; allowed: a whole number from 1, or all", parseError("at 1s kill 1.5 of large"));
    assertEquals("column 17: found 2; allowed: a share of the clients, 0 to 1",
        parseError("at 1s reconnect 2 of clients"));
    assertTrue(parseError("at 1s kill 1 of large §").contains("column 23"));
  }

  @Example
  void conditionsAreEvaluatedAgainstTheMeans() throws ExpressionException {
    Map<String, Map<String, Double>> means = Map.of("lemondeal", Map.of("served", 0.9, "moved", 10.0),
        "random", Map.of("served", 0.6, "moved", 0.0));
    for (String condition : List.of("served >= 0.9", "served of random < served of lemondeal", "0.5 < served of random",
        "served of lemondeal >= served of random * 1.4", "moved of random = 0", "moved > moved of random")) {
      assertTrue(Expressions.parseCondition(condition, FIGURES, POLICIES).evaluate(means, "lemondeal").holds(),
          condition);
    }
    assertFalse(Expressions.parseCondition("served of lemondeal > served of random * 1.6", FIGURES, POLICIES)
        .evaluate(means, "lemondeal").holds());
    assertEquals("column 1: found the figure 'sold'; allowed: served, moved", assertThrows(ExpressionException.class,
        () -> Expressions.parseCondition("sold > 1", FIGURES, POLICIES)).getMessage());
    assertTrue(assertThrows(ExpressionException.class,
        () -> Expressions.parseCondition("served of best > 1", FIGURES, POLICIES)).getMessage()
        .contains("found the policy 'best'; allowed: lemondeal, random"));
  }

  private static final String[] WORDS = {"at", "1s", "200ms", "slow", "kill", "3", "0.5", "of", "large", "all", "by",
      "for", "cut", "zone", "store", "discovery", "down", "reconnect", "clients", "served", ">=", "*", "random",
      "§", "-", "\t"};

  /** Any sequence of words is parsed, or rejected with a message that says what is allowed. */
  @Property(seed = "3", tries = 2000)
  void anyWordsAreParsedOrRejected(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(10); i >= 0; i--) {
      text.append(WORDS[random.nextInt(WORDS.length)]).append(random.nextInt(5) == 0 ? "" : " ");
    }
    try {
      parseFault(text.toString());
    } catch (ExpressionException e) {
      assertTrue(e.getMessage().contains("; allowed: "), e.getMessage());
    }
    try {
      Expressions.parseCondition(text.toString(), FIGURES, POLICIES);
    } catch (ExpressionException e) {
      assertTrue(e.getMessage().contains("; allowed: "), e.getMessage());
    }
  }
}
