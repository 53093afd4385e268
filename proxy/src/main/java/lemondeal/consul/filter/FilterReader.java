package lemondeal.consul.filter;

import java.util.ArrayList;
import java.util.List;
import lemondeal.consul.filter.Filter.Operator;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import org.antlr.v4.runtime.tree.ParseTree;

/** Makes a {@link Filter} of a parse tree without faults. */
final class FilterReader extends FilterGrammarBaseVisitor<Filter> {
  private FilterException mistake;

  @Override
  public Filter visitFilter(FilterGrammarParser.FilterContext in) {
    return visit(in.either());
  }

  @Override
  public Filter visitEither(FilterGrammarParser.EitherContext in) {
    Filter all = visit(in.both(0));
    for (int i = 1; i < in.both().size(); i++) {
      all = new Filter.Either(all, visit(in.both(i)));
    }
    return all;
  }

  @Override
  public Filter visitBoth(FilterGrammarParser.BothContext in) {
    Filter all = visit(in.unary(0));
    for (int i = 1; i < in.unary().size(); i++) {
      all = new Filter.Both(all, visit(in.unary(i)));
    }
    return all;
  }

  @Override
  public Filter visitNegation(FilterGrammarParser.NegationContext in) {
    return new Filter.Not(visit(in.unary()));
  }

  @Override
  public Filter visitGroup(FilterGrammarParser.GroupContext in) {
    return visit(in.either());
  }

  @Override
  public Filter visitMatching(FilterGrammarParser.MatchingContext in) {
    return visit(in.match());
  }

  @Override
  public Filter visitMatch(FilterGrammarParser.MatchContext in) {
    FilterGrammarParser.ComparisonContext how = in.comparison();
    if (how instanceof FilterGrammarParser.MembershipContext member) {
      return new Filter.Match(selector(member.selector()), Operator.IN, value(in.value()));
    } else if (how instanceof FilterGrammarParser.EmptinessContext empty) {
      return new Filter.Match(field(in.value()), empty.NOT() == null ? Operator.EMPTY : Operator.NOT_EMPTY, "");
    } else if (how instanceof FilterGrammarParser.DeniedContext denied) {
      return denied.IN() != null ? new Filter.Match(selector(denied.selector()), Operator.NOT_IN, value(in.value()))
          : new Filter.Match(field(in.value()), denied.CONTAINS() != null ? Operator.NOT_IN : Operator.NOT_MATCHES,
              value(denied.value()));
    }
    FilterGrammarParser.PlainContext plain = (FilterGrammarParser.PlainContext) how;
    Operator operator = plain.EQUAL() != null ? Operator.EQUAL : plain.UNEQUAL() != null ? Operator.UNEQUAL
        : plain.CONTAINS() != null ? Operator.IN : Operator.MATCHES;
    return new Filter.Match(field(in.value()), operator, value(plain.value()));
  }

  /** The left side of a comparison, which must be a field. */
  private Filter.Selector field(FilterGrammarParser.ValueContext in) {
    if (in instanceof FilterGrammarParser.BareContext bare) {
      return selector(bare.selector());
    }
    mistake = new FilterException(in.getStart().getStartIndex() + 1, "found " + in.getText()
        + "; allowed: a field, such as Service.Port");
    throw new ParseCancellationException();
  }

  /** What was wrong, where reading was broken off. */
  FilterException mistake() {
    return mistake;
  }

  private static Filter.Selector selector(FilterGrammarParser.SelectorContext in) {
    List<String> path = new ArrayList<>();
    path.add(in.NAME().getText());
    for (ParseTree step : in.step()) {
      path.add(step instanceof FilterGrammarParser.KeyContext key ? key.word().getText()
          : unquoted(step.getChild(1).getText()));
    }
    Token first = in.getStart();
    return new Filter.Selector(path, first.getStartIndex() + 1);
  }

  private static String value(FilterGrammarParser.ValueContext in) {
    return in instanceof FilterGrammarParser.TextContext ? unquoted(in.getText()) : in.getText();
  }

  private static String unquoted(String text) {
    return text.substring(1, text.length() - 1);
  }
}
