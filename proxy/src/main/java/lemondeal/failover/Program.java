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
final class Program {
  /** What the whole demand is to the solver: its tolerance then lies far under {@link PolicyModel#noise}. */
  private static final double WHOLE = 1000;

  static {
    // It would print what it thinks of the machine; and sums must not depend on how many cores share them.
    System.setProperty("shut.up.ojAlgo", "true");
    OjAlgoUtils.limitThreadsTo(1);
  }

  private final double scale;
  private final List<double[]> variables = new ArrayList<>();
  private final List<Row> rows = new ArrayList<>();

  /** @param whole what counts as a large load here; the solver sees it as 1000 */
  Program(double whole) {
    scale = whole > 0 ? WHOLE / whole : 1;
  }

  /** A variable that costs so much a unit; returns its number. */
  int variable(double cost) {
    return variable(cost, Double.POSITIVE_INFINITY);
  }

  int variable(double cost, double most) {
    variables.add(new double[] {cost, most * scale});
    return variables.size() - 1;
  }

  /** A sum of variables that is bounded from above; or equal. */
  final class Row {
    private final List<double[]> terms = new ArrayList<>();
    private boolean equal;
    private double bound;

    Row with(int variable, double factor) {
      terms.add(new double[] {variable, factor});
      return this;
    }

    void most(double load) {
      bound = load * scale;
    }

    void exactly(double load) {
      equal = true;
      bound = load * scale;
    }
  }

  Row row() {
    rows.add(new Row());
    return rows.get(rows.size() - 1);
  }

  /** The variables' values, or null where no values fit. */
  double[] solve() {
    Optimisation.Result result = result();
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
  double[] worth() {
    double[] worth = new double[rows.size()];
    if (variables.isEmpty()) {
      return worth;
    }
    Optimisation.Result result = result();
    if (!result.getState().isOptimal() || result.getMultipliers().isEmpty()) {
      return null;
    }
    Access1D<?> multipliers = result.getMultipliers().get();
    Arrays.setAll(worth, multipliers::doubleValue);
    return worth;
  }

  private Optimisation.Result result() {
    LinearSolver.Builder builder = LinearSolver.newBuilder();
    builder.objective(variables.stream().mapToDouble(variable -> variable[0]).toArray());
    builder.lower(new double[variables.size()]);
    builder.upper(variables.stream().mapToDouble(variable -> variable[1]).toArray());
    List<Row> equal = rows.stream().filter(row -> row.equal).toList();
    List<Row> bounded = rows.stream().filter(row -> !row.equal).toList();
    if (!equal.isEmpty()) {
      builder.equalities(table(equal), bounds(equal));
    }
    if (!bounded.isEmpty()) {
      builder.inequalities(table(bounded), bounds(bounded));
    }
    return builder.build().solve();
  }

  private R064Store table(List<Row> of) {
    R064Store table = R064Store.FACTORY.make(of.size(), variables.size());
    for (int i = 0; i < of.size(); i++) {
      for (double[] term : of.get(i).terms) {
        table.add(i, (int) term[0], term[1]);
      }
    }
    return table;
  }

  private static R064Store bounds(List<Row> of) {
    R064Store bounds = R064Store.FACTORY.make(of.size(), 1);
    for (int i = 0; i < of.size(); i++) {
      bounds.set(i, 0, of.get(i).bound);
    }
    return bounds;
  }
}
