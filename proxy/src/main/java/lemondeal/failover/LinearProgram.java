package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.ojalgo.OjAlgoUtils;
import org.ojalgo.matrix.store.R064Store;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.linear.LinearSolver;
import org.ojalgo.structure.Access1D;

/**
 * One linear program, to be minimised: the only class that knows the library. Variables are at least 0. Loads go in and
 * come out in the policy's unit and are scaled in between, since the solver's tolerances are absolute ones. The
 * library's modelling classes are passed by: their decimal arithmetic took four fifths of the time.
 */
final class LinearProgram {
  /** What the whole demand is to the solver: its tolerance then lies far under {@link PolicyModel#noise}. */
  private static final double SCALED_REFERENCE = 1000;

  static {
    // It would print what it thinks of the machine; and sums must not depend on how many cores share them.
    System.setProperty("shut.up.ojAlgo", "true");
    OjAlgoUtils.limitThreadsTo(1);
  }

  private final double scale;
  private final List<double[]> variables = new ArrayList<>();
  private final List<Constraint> constraints = new ArrayList<>();

  /** @param whole what counts as a large load here; the solver sees it as 1000 */
  LinearProgram(double referenceLoad) {
    scale = referenceLoad > 0 ? SCALED_REFERENCE / referenceLoad : 1;
  }

  /** A variable that costs so much a unit; returns its number. */
  int variable(double cost) {
    return variable(cost, Double.POSITIVE_INFINITY);
  }

  int variable(double cost, double upperBound) {
    variables.add(new double[] {cost, upperBound * scale});
    return variables.size() - 1;
  }

  /** A sum of variables that is bounded from above; or equal. */
  final class Constraint {
    private final List<double[]> terms = new ArrayList<>();
    private boolean equality;
    private double bound;

    Constraint addTerm(int variable, double factor) {
      terms.add(new double[] {variable, factor});
      return this;
    }

    void atMost(double load) {
      bound = load * scale;
    }

    void equalTo(double load) {
      equality = true;
      bound = load * scale;
    }
  }

  Constraint constraint() {
    constraints.add(new Constraint());
    return constraints.get(constraints.size() - 1);
  }

  /** The variables' values, or null where no values fit. */
  double[] solve() {
    Optimisation.Result result = run();
    if (!result.getState().isFeasible()) {
      return null;
    }
    double[] values = new double[variables.size()];
    Arrays.setAll(values, i -> Math.max(0, result.doubleValue(i) / scale));
    return values;
  }

  /**
   * What one more unit of each row's bound would save, for a program without equations that all zeros satisfy; null
   * where nothing bounds it.
   */
  double[] dualValues() {
    double[] values = new double[constraints.size()];
    if (variables.isEmpty()) {
      return values;
    }
    Optimisation.Result result = run();
    if (!result.getState().isOptimal() || result.getMultipliers().isEmpty()) {
      return null;
    }
    Access1D<?> multipliers = result.getMultipliers().get();
    Arrays.setAll(values, multipliers::doubleValue);
    return values;
  }

  private Optimisation.Result run() {
    LinearSolver.Builder builder = LinearSolver.newBuilder();
    builder.objective(variables.stream().mapToDouble(variable -> variable[0]).toArray());
    builder.lower(new double[variables.size()]);
    builder.upper(variables.stream().mapToDouble(variable -> variable[1]).toArray());
    List<Constraint> equal = constraints.stream().filter(constraint -> constraint.equality).toList();
    List<Constraint> bounded = constraints.stream().filter(constraint -> !constraint.equality).toList();
    if (!equal.isEmpty()) {
      builder.equalities(coefficients(equal), upperBounds(equal));
    }
    if (!bounded.isEmpty()) {
      builder.inequalities(coefficients(bounded), upperBounds(bounded));
    }
    return builder.build().solve();
  }

  private R064Store coefficients(List<Constraint> selected) {
    R064Store matrix = R064Store.FACTORY.make(selected.size(), variables.size());
    for (int i = 0; i < selected.size(); i++) {
      for (double[] term : selected.get(i).terms) {
        matrix.add(i, (int) term[0], term[1]);
      }
    }
    return matrix;
  }

  private static R064Store upperBounds(List<Constraint> selected) {
    R064Store vector = R064Store.FACTORY.make(selected.size(), 1);
    for (int i = 0; i < selected.size(); i++) {
      vector.set(i, 0, selected.get(i).bound);
    }
    return vector;
  }
}
