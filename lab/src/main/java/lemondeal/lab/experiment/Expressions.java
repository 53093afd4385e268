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

/** Reads the expressions of an experiment's file, and says of a mistake where it is, what was found, what is allowed. */
final class Expressions {
  private Expressions() {}

  /** Ends the reading at the first mistake, and keeps it. */
  private static final class Mistakes extends BaseErrorListener {
    private ExpressionException first;

    @Override
    public void syntaxError(Recognizer<?, ?> at, Object symbol, int line, int column, String message,
        RecognitionException e) {
      if (symbol instanceof Token token) {
        String allowed = ((Parser) at).getExpectedTokens().toString(ExperimentGrammarParser.VOCABULARY)
            .replace("{", "").replace("}", "").replace("TIME", "a time, as 10s").replace("NUMBER", "a number")
            .replace("WORD", "a name").replace("COMPARISON", "<, <=, =, >=, >").replace("<EOF>", "the end");
        first = new ExpressionException(column + 1, "found " + (token.getType() == Token.EOF ? "the end"
            : "'" + token.getText() + "'") + "; allowed: " + allowed);
      } else {
        first = new ExpressionException(column + 1, "found a character that no expression has; allowed: words, numbers,"
            + " times and comparisons");
      }
      throw new ParseCancellationException();
    }
  }

  private static <T> T parse(String text, Function<ExperimentGrammarParser, T> rule) throws ExpressionException {
    Mistakes mistakes = new Mistakes();
    ExperimentGrammarLexer lexer = new ExperimentGrammarLexer(CharStreams.fromString(text));
    lexer.removeErrorListeners();
    lexer.addErrorListener(mistakes);
    ExperimentGrammarParser parser = new ExperimentGrammarParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(mistakes);
    try {
      return rule.apply(parser);
    } catch (ParseCancellationException e) {
      throw mistakes.first;
    }
  }

  // ---- Faults -----------------------------------------------------------------------------------

  /**
   * One fault.
   *
   * @param fleets names of which a fault may say "of"
   * @param zones how many zones there are
   */
  static Fault fault(String text, Collection<String> fleets, int zones) throws ExpressionException {
    ExperimentGrammarParser.FaultContext in = parse(text, ExperimentGrammarParser::fault);
    long at = micros(in.TIME(0).getText());
    long length = in.TIME().size() > 1 ? micros(in.TIME(1).getText()) : 0;
    ExperimentGrammarParser.WhatContext what = in.what();
    if (what instanceof ExperimentGrammarParser.SlowContext one) {
      return some(at, Fault.Kind.SLOW, one.some(), number(one.NUMBER()), length, fleets, false);
    } else if (what instanceof ExperimentGrammarParser.HangContext one) {
      return some(at, Fault.Kind.HANG, one.some(), 1, length, fleets, false);
    } else if (what instanceof ExperimentGrammarParser.KillContext one) {
      return some(at, Fault.Kind.KILL, one.some(), 1, length, fleets, true);
    } else if (what instanceof ExperimentGrammarParser.DrainContext one) {
      return some(at, Fault.Kind.DRAIN, one.some(), 1, length, fleets, false);
    } else if (what instanceof ExperimentGrammarParser.ReplaceContext one) {
      return some(at, Fault.Kind.REPLACE, one.some(), 1, length, fleets, false);
    } else if (what instanceof ExperimentGrammarParser.CutContext one) {
      double zone = number(one.NUMBER());
      if (zone != Math.rint(zone) || zone >= zones) {
        throw new ExpressionException(column(one.NUMBER().getSymbol()), "found zone " + one.NUMBER().getText()
            + "; allowed: 0 to " + (zones - 1));
      }
      return new Fault(at, Fault.Kind.CUT, 0, "", zone, length);
    } else if (what instanceof ExperimentGrammarParser.DiscoveryContext) {
      return new Fault(at, Fault.Kind.DISCOVERY, 0, "", 1, length);
    } else if (what instanceof ExperimentGrammarParser.StoreContext one) {
      return new Fault(at, Fault.Kind.STORE, 0, "", number(one.NUMBER()), length);
    }
    ExperimentGrammarParser.ReconnectContext one = (ExperimentGrammarParser.ReconnectContext) what;
    double share = number(one.NUMBER());
    if (share > 1) {
      throw new ExpressionException(column(one.NUMBER().getSymbol()), "found " + one.NUMBER().getText()
          + "; allowed: a share of the clients, 0 to 1");
    }
    return new Fault(at, Fault.Kind.RECONNECT, 0, "clients", share, length);
  }

  private static Fault some(long at, Fault.Kind kind, ExperimentGrammarParser.SomeContext in, double factor, long length,
      Collection<String> fleets, boolean proxiesToo) throws ExpressionException {
    String whom = in.name().getText();
    boolean known = fleets.contains(whom) || whom.equals("servers") || proxiesToo && whom.equals("proxies");
    if (!known) {
      throw new ExpressionException(column(in.name()), "found '" + whom + "'; allowed: " + String.join(", ", fleets)
          + ", servers" + (proxiesToo ? ", proxies" : ""));
    }
    if (factor <= 0) {
      throw new ExpressionException(1, "found a factor of 0; allowed: above 0");
    }
    double count = in.NUMBER() == null ? 0 : number(in.NUMBER());
    if (in.NUMBER() != null && (count < 1 || count != Math.rint(count))) {
      throw new ExpressionException(column(in.NUMBER().getSymbol()), "found " + in.NUMBER().getText()
          + "; allowed: a whole number from 1, or all");
    }
    return new Fault(at, kind, (int) count, whom, factor, length);
  }

  /** Microseconds of a time such as 10s, 1.5s, 200ms or 2m. */
  static long micros(String text) {
    double unit = text.endsWith("ms") ? 1_000 : text.endsWith("s") ? 1_000_000 : 60_000_000;
    return Math.round(Double.parseDouble(text.replaceAll("[a-z]", "")) * unit);
  }

  // ---- Conditions -------------------------------------------------------------------------------

  /** One condition over figures of these names and policies. */
  static Condition condition(String text, Collection<String> figures, Collection<String> policies)
      throws ExpressionException {
    ExperimentGrammarParser.ConditionContext in = parse(text, ExperimentGrammarParser::condition);
    return new Condition(text, side(in.side(0), figures, policies), in.COMPARISON().getText(),
        side(in.side(1), figures, policies));
  }

  private static Condition.Side side(ExperimentGrammarParser.SideContext in, Collection<String> figures,
      Collection<String> policies) throws ExpressionException {
    if (in instanceof ExperimentGrammarParser.NumberContext number) {
      return new Condition.Side(null, null, Double.parseDouble(number.getText()));
    }
    ExperimentGrammarParser.FigureContext figure = (ExperimentGrammarParser.FigureContext) in;
    String name = figure.name(0).getText();
    if (!figures.contains(name)) {
      throw new ExpressionException(column(figure.name(0)), "found the figure '" + name + "'; allowed: "
          + String.join(", ", figures));
    }
    String policy = figure.name().size() > 1 ? figure.name(1).getText() : null;
    if (policy != null && !policies.contains(policy)) {
      throw new ExpressionException(column(figure.name(1)), "found the policy '" + policy + "'; allowed: "
          + String.join(", ", policies));
    }
    return new Condition.Side(name, policy, figure.NUMBER() == null ? 1 : number(figure.NUMBER()));
  }

  private static double number(org.antlr.v4.runtime.tree.TerminalNode node) {
    return Double.parseDouble(node.getText());
  }

  private static int column(ParserRuleContext in) {
    return column(in.getStart());
  }

  private static int column(Token token) {
    return token.getCharPositionInLine() + 1;
  }
}
