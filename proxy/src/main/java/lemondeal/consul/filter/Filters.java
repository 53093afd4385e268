package lemondeal.consul.filter;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import lemondeal.consul.filter.Filter.Operator;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/**
 * Reads filter expressions and checks them against the fields that Consul's health endpoint has, so that a mistake is
 * told at the start, with its place, and not by Consul with each call. Pure.
 */
public final class Filters {
  /** Nested parentheses and negations; deeper ones would exhaust the stack before they said anything. */
  private static final int DEEPEST = 100;

  /** What a field holds, and with it how it may be compared. */
  private enum Kind {
    TEXT(EnumSet.of(Operator.EQUAL, Operator.UNEQUAL, Operator.IN, Operator.NOT_IN, Operator.MATCHES,
        Operator.NOT_MATCHES)),
    NUMBER(EnumSet.of(Operator.EQUAL, Operator.UNEQUAL)),
    BOOLEAN(EnumSet.of(Operator.EQUAL, Operator.UNEQUAL)),
    TEXTS(EnumSet.of(Operator.IN, Operator.NOT_IN, Operator.EMPTY, Operator.NOT_EMPTY)),
    MAP(EnumSet.of(Operator.IN, Operator.NOT_IN, Operator.EMPTY, Operator.NOT_EMPTY)),
    OBJECTS(EnumSet.of(Operator.EMPTY, Operator.NOT_EMPTY));

    private final Set<Operator> operators;

    Kind(Set<Operator> operators) {
      this.operators = operators;
    }
  }

  /** A key of a map stands as *. */
  private static final Map<String, Kind> FIELDS = new LinkedHashMap<>();

  static {
    for (String text : List.of("Node.ID", "Node.Node", "Node.Address", "Node.Datacenter", "Node.TaggedAddresses.*",
        "Node.Meta.*", "Service.ID", "Service.Service", "Service.Address", "Service.Kind", "Service.Meta.*",
        "Service.TaggedAddresses.*.Address", "Checks.CheckID", "Checks.Name", "Checks.Node", "Checks.Notes",
        "Checks.Output", "Checks.ServiceID", "Checks.ServiceName", "Checks.Status")) {
      FIELDS.put(text, Kind.TEXT);
    }
    for (String number : List.of("Service.Port", "Service.TaggedAddresses.*.Port", "Service.Weights.Passing",
        "Service.Weights.Warning")) {
      FIELDS.put(number, Kind.NUMBER);
    }
    FIELDS.put("Service.EnableTagOverride", Kind.BOOLEAN);
    FIELDS.put("Service.Connect.Native", Kind.BOOLEAN);
    FIELDS.put("Service.Tags", Kind.TEXTS);
    FIELDS.put("Checks.ServiceTags", Kind.TEXTS);
    FIELDS.put("Node.Meta", Kind.MAP);
    FIELDS.put("Node.TaggedAddresses", Kind.MAP);
    FIELDS.put("Service.Meta", Kind.MAP);
    FIELDS.put("Service.TaggedAddresses", Kind.MAP);
    FIELDS.put("Checks", Kind.OBJECTS);
  }

  private Filters() {}

  /** The expression read; throws with its first mistake. */
  public static Filter parse(String expression) throws FilterException {
    Mistakes mistakes = new Mistakes();
    FilterGrammarLexer lexer = new FilterGrammarLexer(CharStreams.fromString(expression));
    lexer.removeErrorListeners();
    lexer.addErrorListener(mistakes);
    CommonTokenStream tokens = new CommonTokenStream(lexer);
    FilterGrammarParser parser = new FilterGrammarParser(tokens);
    parser.removeErrorListeners();
    parser.addErrorListener(mistakes);
    FilterReader reader = new FilterReader();
    try {
      tokens.fill();
      checkDepth(tokens);
      return reader.visit(parser.filter());
    } catch (ParseCancellationException e) {
      throw mistakes.first != null ? mistakes.first : reader.mistake();
    }
  }

  private static void checkDepth(CommonTokenStream tokens) throws FilterException {
    int depth = 0;
    for (Token token : tokens.getTokens()) {
      depth += token.getType() == FilterGrammarLexer.OPEN || token.getType() == FilterGrammarLexer.NOT ? 1
          : token.getType() == FilterGrammarLexer.CLOSE ? -1 : 0;
      if (depth > DEEPEST) {
        throw new FilterException(token.getStartIndex() + 1, "found more than " + DEEPEST
            + " parentheses and negations open; allowed: at most " + DEEPEST);
      }
    }
  }

  /** Ends the reading at the first mistake, and keeps it. */
  private static final class Mistakes extends BaseErrorListener {
    private FilterException first;

    @Override
    public void syntaxError(Recognizer<?, ?> at, Object symbol, int line, int inLine, String message,
        RecognitionException e) {
      if (symbol instanceof Token token) {
        String allowed = ((Parser) at).getExpectedTokens().toString(FilterGrammarParser.VOCABULARY);
        first = new FilterException(token.getStartIndex() + 1, "found " + (token.getType() == Token.EOF ? "the end"
            : "'" + token.getText() + "'") + "; allowed: " + readable(allowed));
      } else {
        int column = ((FilterGrammarLexer) at)._tokenStartCharIndex + 1;
        first = new FilterException(column, "found a character that no expression has; allowed: fields, values, "
            + "operators and parentheses");
      }
      throw new ParseCancellationException();
    }

    private static String readable(String tokens) {
      return tokens.replace("{", "").replace("}", "").replace("NAME", "a field or value").replace("NUMBER", "a number")
          .replace("QUOTED", "a text in quotes").replace("RAW", "a text in backquotes").replace("<EOF>", "the end");
    }
  }

  /** Throws where a field does not exist in the health endpoint's entries, or can't be compared so. */
  public static void check(Filter filter) throws FilterException {
    if (filter instanceof Filter.Both both) {
      check(both.left());
      check(both.right());
    } else if (filter instanceof Filter.Either either) {
      check(either.left());
      check(either.right());
    } else if (filter instanceof Filter.Not not) {
      check(not.what());
    } else if (filter instanceof Filter.Match match) {
      check(match);
    }
  }

  private static void check(Filter.Match match) throws FilterException {
    Filter.Selector selector = match.selector();
    Kind kind = kind(selector.path());
    if (kind == null) {
      throw new FilterException(selector.column(), "found the field " + selector + "; allowed: "
          + String.join(", ", FIELDS.keySet()));
    }
    if (!kind.operators.contains(match.operator())) {
      List<String> allowed = new ArrayList<>();
      kind.operators.forEach(operator -> allowed.add(operator.text()));
      throw new FilterException(selector.column(), "found '" + match.operator().text() + "' on " + selector
          + "; allowed: " + String.join(", ", allowed));
    }
    checkValue(match, kind);
  }

  private static void checkValue(Filter.Match match, Kind kind) throws FilterException {
    int column = match.selector().column();
    if (kind == Kind.NUMBER && !match.value().matches("-?[0-9]{1,18}")) {
      throw new FilterException(column, "found '" + match.value() + "' for " + match.selector()
          + "; allowed: a whole number");
    }
    if (kind == Kind.BOOLEAN && !match.value().matches("true|false")) {
      throw new FilterException(column, "found '" + match.value() + "' for " + match.selector()
          + "; allowed: true or false");
    }
    if (match.operator() == Operator.MATCHES || match.operator() == Operator.NOT_MATCHES) {
      try {
        Pattern.compile(match.value());
      } catch (PatternSyntaxException e) {
        throw new FilterException(column, "found the pattern '" + match.value() + "': " + e.getDescription()
            + "; allowed: a regular expression");
      }
    }
  }

  private static Kind kind(List<String> path) {
    for (Map.Entry<String, Kind> field : FIELDS.entrySet()) {
      String[] parts = field.getKey().split("\\.");
      boolean fits = parts.length == path.size();
      for (int i = 0; fits && i < parts.length; i++) {
        fits = parts[i].equals("*") || parts[i].equals(path.get(i));
      }
      if (fits) {
        return field.getValue();
      }
    }
    return null;
  }
}
