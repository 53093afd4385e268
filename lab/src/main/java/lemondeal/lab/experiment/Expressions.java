package lemondeal.lab.experiment;

import java.util.Collection;
import java.util.function.Function;
import lemondeal.lab.emulator.Fault;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.Parser;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;

/** Parses the expressions of an experiment's file. Errors say where they are, what was found and what is allowed. */
final class Expressions {
  private Expressions() {}

  /** Stops the parser at the first syntax error, and keeps the error. */
  private static final class FirstErrorListener extends BaseErrorListener {
    private ExpressionException firstError;

    @Override
    public void syntaxError(Recognizer<?, ?> recognizer, Object symbol, int line, int column, String message,
        RecognitionException e) {
      if (symbol instanceof Token token) {
        String allowed = ((Parser) recognizer).getExpectedTokens().toString(ExperimentGrammarParser.VOCABULARY)
            .replace("{", "").replace("}", "").replace("TIME", "a time such as 10s").replace("NUMBER", "a number")
            .replace("WORD", "a name").replace("COMPARISON", "<, <=, =, >=, >").replace("<EOF>", "the end");
        firstError = new ExpressionException(column + 1, "found " + (token.getType() == Token.EOF ? "the end"
            : "'" + token.getText() + "'") + "; allowed: " + allowed);
      } else {
        firstError = new ExpressionException(column + 1, "found an invalid character; allowed: words, numbers, times"
            + " and comparisons");
      }
      throw new ParseCancellationException();
    }
  }

  private static <T> T parse(String text, Function<ExperimentGrammarParser, T> rule) throws ExpressionException {
    FirstErrorListener errorListener = new FirstErrorListener();
    ExperimentGrammarLexer lexer = new ExperimentGrammarLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(errorListener);
    ExperimentGrammarParser parser = new ExperimentGrammarParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(errorListener);
    try {
      return rule.apply(parser);
    } catch (ParseCancellationException e) {
      throw errorListener.firstError;
    }
  }

  // ---- Faults -----------------------------------------------------------------------------------

  /**
   * Parses a fault.
   *
   * @param poolNames names of server pools that can be a fault's target
   * @param zoneCount number of zones
   */
  static Fault parseFault(String text, Collection<String> poolNames, int zoneCount) throws ExpressionException {
    ExperimentGrammarParser.FaultContext context = parse(text, ExperimentGrammarParser::fault);
    long startTime = parseMicros(context.TIME(0).getText());
    long duration = context.TIME().size() > 1 ? parseMicros(context.TIME(1).getText()) : 0;
    ExperimentGrammarParser.WhatContext kindContext = context.what();
    if (kindContext instanceof ExperimentGrammarParser.SlowContext matched) {
      return parseTargets(startTime, Fault.Kind.SLOW, matched.some(), parseNumber(matched.NUMBER()), duration,
          poolNames, false);
    } else if (kindContext instanceof ExperimentGrammarParser.HangContext matched) {
      return parseTargets(startTime, Fault.Kind.HANG, matched.some(), 1, duration, poolNames, false);
    } else if (kindContext instanceof ExperimentGrammarParser.KillContext matched) {
      return parseTargets(startTime, Fault.Kind.KILL, matched.some(), 1, duration, poolNames, true);
    } else if (kindContext instanceof ExperimentGrammarParser.DrainContext matched) {
      return parseTargets(startTime, Fault.Kind.DRAIN, matched.some(), 1, duration, poolNames, false);
    } else if (kindContext instanceof ExperimentGrammarParser.ReplaceContext matched) {
      return parseTargets(startTime, Fault.Kind.REPLACE, matched.some(), 1, duration, poolNames, false);
    } else if (kindContext instanceof ExperimentGrammarParser.CutContext matched) {
      double zone = parseNumber(matched.NUMBER());
      if (zone != Math.rint(zone) || zone >= zoneCount) {
        throw new ExpressionException(column(matched.NUMBER().getSymbol()), "found zone " + matched.NUMBER().getText()
            + "; allowed: 0 to " + (zoneCount - 1));
      }
      return new Fault(startTime, Fault.Kind.CUT, 0, "", zone, duration);
    } else if (kindContext instanceof ExperimentGrammarParser.DiscoveryContext) {
      return new Fault(startTime, Fault.Kind.DISCOVERY, 0, "", 1, duration);
    } else if (kindContext instanceof ExperimentGrammarParser.StoreContext matched) {
      return new Fault(startTime, Fault.Kind.STORE, 0, "", parseNumber(matched.NUMBER()), duration);
    }
    ExperimentGrammarParser.ReconnectContext matched = (ExperimentGrammarParser.ReconnectContext) kindContext;
    double share = parseNumber(matched.NUMBER());
    if (share > 1) {
      throw new ExpressionException(column(matched.NUMBER().getSymbol()), "found " + matched.NUMBER().getText()
          + "; allowed: a share of the clients, 0 to 1");
    }
    return new Fault(startTime, Fault.Kind.RECONNECT, 0, "clients", share, duration);
  }

  private static Fault parseTargets(long startTime, Fault.Kind kind, ExperimentGrammarParser.SomeContext context,
      double factor, long duration, Collection<String> poolNames, boolean allowProxies) throws ExpressionException {
    String target = context.name().getText();
    boolean known = poolNames.contains(target) || target.equals("servers") || allowProxies && target.equals("proxies");
    if (!known) {
      throw new ExpressionException(column(context.name()), "found '" + target + "'; allowed: "
          + String.join(", ", poolNames) + ", servers" + (allowProxies ? ", proxies" : ""));
    }
    if (factor <= 0) {
      throw new ExpressionException(1, "found a factor of 0; allowed: above 0");
    }
    double count = context.NUMBER() == null ? 0 : parseNumber(context.NUMBER());
    if (context.NUMBER() != null && (count < 1 || count != Math.rint(count))) {
      throw new ExpressionException(column(context.NUMBER().getSymbol()), "found " + context.NUMBER().getText()
          + "; allowed: a whole number from 1, or all");
    }
    return new Fault(startTime, kind, (int) count, target, factor, duration);
  }

  /** Parses a time such as 10s, 1.5s, 200ms or 2m; returns microseconds. */
  static long parseMicros(String text) {
    double unit = text.endsWith("ms") ? 1_000 : text.endsWith("s") ? 1_000_000 : 60_000_000;
    return Math.round(Double.parseDouble(text.replaceAll("[a-z]", "")) * unit);
  }

  // ---- Conditions -------------------------------------------------------------------------------

  /** Parses a condition that can use these figures and policies. */
  static Condition parseCondition(String text, Collection<String> figureNames, Collection<String> policyNames)
      throws ExpressionException {
    ExperimentGrammarParser.ConditionContext context = parse(text, ExperimentGrammarParser::condition);
    return new Condition(text, parseSide(context.side(0), figureNames, policyNames), context.COMPARISON().getText(),
        parseSide(context.side(1), figureNames, policyNames));
  }

  private static Condition.Side parseSide(ExperimentGrammarParser.SideContext context, Collection<String> figureNames,
      Collection<String> policyNames) throws ExpressionException {
    if (context instanceof ExperimentGrammarParser.NumberContext number) {
      return new Condition.Side(null, null, Double.parseDouble(number.getText()));
    }
    ExperimentGrammarParser.FigureContext figure = (ExperimentGrammarParser.FigureContext) context;
    String name = figure.name(0).getText();
    if (!figureNames.contains(name)) {
      throw new ExpressionException(column(figure.name(0)), "found the figure '" + name + "'; allowed: "
          + String.join(", ", figureNames));
    }
    String policy = figure.name().size() > 1 ? figure.name(1).getText() : null;
    if (policy != null && !policyNames.contains(policy)) {
      throw new ExpressionException(column(figure.name(1)), "found the policy '" + policy + "'; allowed: "
          + String.join(", ", policyNames));
    }
    return new Condition.Side(name, policy, figure.NUMBER() == null ? 1 : parseNumber(figure.NUMBER()));
  }

  private static double parseNumber(org.antlr.v4.runtime.tree.TerminalNode node) {
    return Double.parseDouble(node.getText());
  }

  private static int column(ParserRuleContext context) {
    return column(context.getStart());
  }

  private static int column(Token token) {
    return token.getCharPositionInLine() + 1;
  }
}
