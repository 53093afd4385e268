package lemondeal.consul.filter;

import java.util.ArrayList;
import java.util.List;
import lemondeal.consul.filter.Filter.Operator;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import org.antlr.v4.runtime.tree.ParseTree;

/** Builds a {@link Filter} from a parse tree that has no syntax errors. */
final class FilterBuilder extends FilterGrammarBaseVisitor<Filter> {
  private FilterException error;

  @Override
  public Filter visitFilter(FilterGrammarParser.FilterContext context) {
    return visit(context.either());
  }

  @Override
  public Filter visitEither(FilterGrammarParser.EitherContext context) {
    Filter result = visit(context.both(0));
    for (int i = 1; i < context.both().size(); i++) {
      result = new Filter.Or(result, visit(context.both(i)));
    }
    return result;
  }

  @Override
  public Filter visitBoth(FilterGrammarParser.BothContext context) {
    Filter result = visit(context.unary(0));
    for (int i = 1; i < context.unary().size(); i++) {
      result = new Filter.And(result, visit(context.unary(i)));
    }
    return result;
  }

  @Override
  public Filter visitNegation(FilterGrammarParser.NegationContext context) {
    return new Filter.Not(visit(context.unary()));
  }

  @Override
  public Filter visitGroup(FilterGrammarParser.GroupContext context) {
    return visit(context.either());
  }

  @Override
  public Filter visitMatching(FilterGrammarParser.MatchingContext context) {
    return visit(context.match());
  }

  @Override
  public Filter visitMatch(FilterGrammarParser.MatchContext context) {
    FilterGrammarParser.ComparisonContext comparison = context.comparison();
    if (comparison instanceof FilterGrammarParser.MembershipContext membership) {
      return new Filter.Match(selector(membership.selector()), Operator.IN, value(context.value()));
    } else if (comparison instanceof FilterGrammarParser.EmptinessContext empty) {
      return new Filter.Match(field(context.value()), empty.NOT() == null ? Operator.EMPTY : Operator.NOT_EMPTY, "");
    } else if (comparison instanceof FilterGrammarParser.DeniedContext denied) {
      return denied.IN() != null
          ? new Filter.Match(selector(denied.selector()), Operator.NOT_IN, value(context.value()))
          : new Filter.Match(field(context.value()), denied.CONTAINS() != null ? Operator.NOT_IN : Operator.NOT_MATCHES,
              value(denied.value()));
    }
    FilterGrammarParser.PlainContext plain = (FilterGrammarParser.PlainContext) comparison;
    Operator operator = plain.EQUAL() != null ? Operator.EQUAL : plain.UNEQUAL() != null ? Operator.UNEQUAL
        : plain.CONTAINS() != null ? Operator.IN : Operator.MATCHES;
    return new Filter.Match(field(context.value()), operator, value(plain.value()));
  }

  /** The left side of a comparison, which must be a field. */
  private Filter.Selector field(FilterGrammarParser.ValueContext context) {
    if (context instanceof FilterGrammarParser.BareContext bare) {
      return selector(bare.selector());
    }
    error = new FilterException(context.getStart().getStartIndex() + 1, "found " + context.getText()
        + "; allowed: a field, such as Service.Port");
    throw new ParseCancellationException();
  }

  /** The error that stopped the build; null if there was none. */
  FilterException error() {
    return error;
  }

  private static Filter.Selector selector(FilterGrammarParser.SelectorContext context) {
    List<String> path = new ArrayList<>();
    path.add(context.NAME().getText());
    for (ParseTree step : context.step()) {
      path.add(step instanceof FilterGrammarParser.KeyContext key ? key.word().getText()
          : unquoted(step.getChild(1).getText()));
    }
    Token first = context.getStart();
    return new Filter.Selector(path, first.getStartIndex() + 1);
  }

  private static String value(FilterGrammarParser.ValueContext context) {
    return context instanceof FilterGrammarParser.TextContext ? unquoted(context.getText()) : context.getText();
  }

  private static String unquoted(String text) {
    return text.substring(1, text.length() - 1);
  }
}
