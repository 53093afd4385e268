package lemondeal.failover;

import java.util.ArrayList;
import java.util.List;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;

/**
 * One linear program, to be minimised: the only class that knows the library. Variables are at least 0. Loads go in and
 * come out in the policy's unit and are scaled in between, since the solver's tolerances are absolute ones.
 */
final class Program {
  /** What the whole demand is to the solver: its tolerance then lies far under {@link PolicyModel#noise}. */
  private static final double WHOLE = 1000;

  private final ExpressionsBasedModel model = new ExpressionsBasedModel();
  private final List<Variable> variables = new ArrayList<>();
  private final double scale;
  private int rows;

  /** @param whole what counts as a large load here; the solver sees it as 1000 */
  Program(double whole) {
    scale = whole > 0 ? WHOLE / whole : 1;
  }

  /** A variable that costs so much a unit; returns its number. */
  int variable(double cost) {
    return variable(cost, Double.POSITIVE_INFINITY);
  }

  int variable(double cost, double most) {
    Variable variable = model.addVariable("v" + variables.size()).lower(0);
    if (cost != 0) {
      variable.weight(cost);
    }
    if (Double.isFinite(most)) {
      variable.upper(most * scale);
    }
    variables.add(variable);
    return variables.size() - 1;
  }

  /** A sum of variables that is bounded. */
  final class Row {
    private final Expression expression = model.addExpression("r" + rows++);

    Row with(int variable, double factor) {
      expression.set(variables.get(variable), factor);
      return this;
    }

    void most(double load) {
      expression.upper(load * scale);
    }

    void least(double load) {
      expression.lower(load * scale);
    }

    void exactly(double load) {
      expression.level(load * scale);
    }
  }

  Row row() {
    return new Row();
  }

  /** The variables' values, or null where no values fit. */
  double[] solve() {
    Optimisation.Result result = model.minimise();
    if (!result.getState().isFeasible()) {
      return null;
    }
    double[] values = new double[variables.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = Math.max(0, result.doubleValue(i) / scale);
    }
    return values;
  }
}
