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
 * A linear program to be minimized; the only class that uses the solver library (ojAlgo). Variables are at least 0.
 * Loads are passed and returned in the policy's unit and are scaled for the solver, since its tolerances are absolute.
 * The library's modelling classes are not used, as their decimal arithmetic took four fifths of the time.
 */
final class LinearProgram {
  /** The reference load as the solver sees it; its tolerance is then far below {@link PolicyModel#tolerance}. */
  private static final double SCALED_REFERENCE = 1000;

  static {
    // Suppresses ojAlgo's message about the hardware. One thread makes sums independent of the number of cores.
    System.setProperty("shut.up.ojAlgo", "true");
    OjAlgoUtils.limitThreadsTo(1);
  }

  private final double scale;
  private final List<double[]> variables = new ArrayList<>();
  private final List<Constraint> constraints = new ArrayList<>();

  /** @param referenceLoad the order of magnitude of the loads; it is scaled to 1000 for the solver */
  LinearProgram(double referenceLoad) {
    scale = referenceLoad > 0 ? SCALED_REFERENCE / referenceLoad : 1;
  }

  /** Adds a variable with this cost per unit; returns its index. */
  int variable(double cost) {
    return variable(cost, Double.POSITIVE_INFINITY);
  }

  int variable(double cost, double upperBound) {
    variables.add(new double[] {cost, upperBound * scale});
    return variables.size() - 1;
  }

  /** A weighted sum of variables that has an upper bound or a fixed value. */
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

  /** The values of the variables, or null if the program is infeasible. */
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
   * The dual value of each constraint: what one more unit of its bound would save. For programs without equations that
   * all zeros satisfy; null if the program is unbounded.
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
      builder.equalities(coefficients(equal), boundVector(equal));
    }
    if (!bounded.isEmpty()) {
      builder.inequalities(coefficients(bounded), boundVector(bounded));
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

  private static R064Store boundVector(List<Constraint> selected) {
    R064Store vector = R064Store.FACTORY.make(selected.size(), 1);
    for (int i = 0; i < selected.size(); i++) {
      vector.set(i, 0, selected.get(i).bound);
    }
    return vector;
  }
}
