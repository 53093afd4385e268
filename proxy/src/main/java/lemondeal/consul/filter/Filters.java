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
 * Parses filter expressions and checks them against the fields of Consul's health endpoint, so that an error is
 * reported at startup with its column, and not by Consul on each call. Pure.
 */
public final class Filters {
  /**
   * Maximum nesting of parentheses and negations; deeper nesting would overflow the stack before any error is reported.
   */
  private static final int MAX_DEPTH = 100;

  /** The type of a field, which determines the operators it supports. */
  private enum FieldType {
    TEXT(EnumSet.of(Operator.EQUAL, Operator.UNEQUAL, Operator.IN, Operator.NOT_IN, Operator.MATCHES,
        Operator.NOT_MATCHES)),
    NUMBER(EnumSet.of(Operator.EQUAL, Operator.UNEQUAL)),
    BOOLEAN(EnumSet.of(Operator.EQUAL, Operator.UNEQUAL)),
    TEXTS(EnumSet.of(Operator.IN, Operator.NOT_IN, Operator.EMPTY, Operator.NOT_EMPTY)),
    MAP(EnumSet.of(Operator.IN, Operator.NOT_IN, Operator.EMPTY, Operator.NOT_EMPTY)),
    OBJECTS(EnumSet.of(Operator.EMPTY, Operator.NOT_EMPTY));

    private final Set<Operator> operators;

    FieldType(Set<Operator> operators) {
      this.operators = operators;
    }
  }

  /** A * matches any key of a map. */
  private static final Map<String, FieldType> FIELDS = new LinkedHashMap<>();

  static {
    for (String text : List.of("Node.ID", "Node.Node", "Node.Address", "Node.Datacenter", "Node.TaggedAddresses.*",
        "Node.Meta.*", "Service.ID", "Service.Service", "Service.Address", "Service.Kind", "Service.Meta.*",
        "Service.TaggedAddresses.*.Address", "Checks.CheckID", "Checks.Name", "Checks.Node", "Checks.Notes",
        "Checks.Output", "Checks.ServiceID", "Checks.ServiceName", "Checks.Status")) {
      FIELDS.put(text, FieldType.TEXT);
    }
    for (String number : List.of("Service.Port", "Service.TaggedAddresses.*.Port", "Service.Weights.Passing",
        "Service.Weights.Warning")) {
      FIELDS.put(number, FieldType.NUMBER);
    }
    FIELDS.put("Service.EnableTagOverride", FieldType.BOOLEAN);
    FIELDS.put("Service.Connect.Native", FieldType.BOOLEAN);
    FIELDS.put("Service.Tags", FieldType.TEXTS);
    FIELDS.put("Checks.ServiceTags", FieldType.TEXTS);
    FIELDS.put("Node.Meta", FieldType.MAP);
    FIELDS.put("Node.TaggedAddresses", FieldType.MAP);
    FIELDS.put("Service.Meta", FieldType.MAP);
    FIELDS.put("Service.TaggedAddresses", FieldType.MAP);
    FIELDS.put("Checks", FieldType.OBJECTS);
  }

  private Filters() {}

  /** Parses the expression; throws on its first error. */
  public static Filter parse(String expression) throws FilterException {
    FirstErrorListener errors = new FirstErrorListener();
    FilterGrammarLexer lexer = new FilterGrammarLexer(CharStreams.fromString(expression));
    lexer.removeErrorListeners();
    lexer.addErrorListener(errors);
    CommonTokenStream tokens = new CommonTokenStream(lexer);
    FilterGrammarParser parser = new FilterGrammarParser(tokens);
    parser.removeErrorListeners();
    parser.addErrorListener(errors);
    FilterBuilder builder = new FilterBuilder();
    try {
      tokens.fill();
      checkDepth(tokens);
      return builder.visit(parser.filter());
    } catch (ParseCancellationException e) {
      throw errors.firstError != null ? errors.firstError : builder.error();
    }
  }

  private static void checkDepth(CommonTokenStream tokens) throws FilterException {
    int depth = 0;
    for (Token token : tokens.getTokens()) {
      depth += token.getType() == FilterGrammarLexer.OPEN || token.getType() == FilterGrammarLexer.NOT ? 1
          : token.getType() == FilterGrammarLexer.CLOSE ? -1 : 0;
      if (depth > MAX_DEPTH) {
        throw new FilterException(token.getStartIndex() + 1, "found more than " + MAX_DEPTH
            + " parentheses and negations open; allowed: at most " + MAX_DEPTH);
      }
    }
  }

  /** Stops parsing at the first error and keeps it. */
  private static final class FirstErrorListener extends BaseErrorListener {
    private FilterException firstError;

    @Override
    public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int charPositionInLine,
        String message, RecognitionException e) {
      if (symbol instanceof Token token) {
        String allowed = ((Parser) recognizer).getExpectedTokens().toString(FilterGrammarParser.VOCABULARY);
        firstError = new FilterException(token.getStartIndex() + 1, "found " + (token.getType() == Token.EOF ? "the end"
            : "'" + token.getText() + "'") + "; allowed: " + describeTokens(allowed));
      } else {
        int column = ((FilterGrammarLexer) recognizer)._tokenStartCharIndex + 1;
        firstError = new FilterException(column, "found a character that is not part of any expression; allowed: "
            + "fields, values, operators and parentheses");
      }
      throw new ParseCancellationException();
    }

    private static String describeTokens(String tokens) {
      return tokens.replace("{", "").replace("}", "").replace("NAME", "a field or value").replace("NUMBER", "a number")
          .replace("QUOTED", "a quoted string").replace("RAW", "a string in backquotes").replace("<EOF>", "the end");
    }
  }

  /** Throws if a field does not exist in the health endpoint's entries, or does not support its operator or value. */
  public static void check(Filter filter) throws FilterException {
    if (filter instanceof Filter.And and) {
      check(and.left());
      check(and.right());
    } else if (filter instanceof Filter.Or or) {
      check(or.left());
      check(or.right());
    } else if (filter instanceof Filter.Not not) {
      check(not.operand());
    } else if (filter instanceof Filter.Match match) {
      check(match);
    }
  }

  private static void check(Filter.Match match) throws FilterException {
    Filter.Selector selector = match.selector();
    FieldType type = fieldType(selector.path());
    if (type == null) {
      throw new FilterException(selector.column(), "found the field " + selector + "; allowed: "
          + String.join(", ", FIELDS.keySet()));
    }
    if (!type.operators.contains(match.operator())) {
      List<String> allowed = new ArrayList<>();
      type.operators.forEach(operator -> allowed.add(operator.text()));
      throw new FilterException(selector.column(), "found '" + match.operator().text() + "' on " + selector
          + "; allowed: " + String.join(", ", allowed));
    }
    checkValue(match, type);
  }

  private static void checkValue(Filter.Match match, FieldType type) throws FilterException {
    int column = match.selector().column();
    if (type == FieldType.NUMBER && !match.value().matches("-?[0-9]{1,18}")) {
      throw new FilterException(column, "found '" + match.value() + "' for " + match.selector()
          + "; allowed: a whole number");
    }
    if (type == FieldType.BOOLEAN && !match.value().matches("true|false")) {
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

  private static FieldType fieldType(List<String> path) {
    for (Map.Entry<String, FieldType> field : FIELDS.entrySet()) {
      String[] parts = field.getKey().split("\\.");
      boolean matches = parts.length == path.size();
      for (int i = 0; matches && i < parts.length; i++) {
        matches = parts[i].equals("*") || parts[i].equals(path.get(i));
      }
      if (matches) {
        return field.getValue();
      }
    }
    return null;
  }
}
