package lemondeal.failover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.ojalgo.OjAlgoUtils;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.linear.LinearSolver;
import org.ojalgo.structure.Access1D;

/**
 * One linear program, to be minimised: the only class that knows the library. Variables are at least 0. Loads go in and
 * come out in the policy's unit and are scaled in between, since the solver's tolerances are absolute ones. The library's
 * modelling classes are passed by: their decimal arithmetic took four fifths of the time.
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

    private double[] dense() {
      double[] dense = new double[variables.size()];
      terms.forEach(term -> dense[(int) term[0]] += term[1]);
      return dense;
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

  /** What one more unit of each row's bound would save, for a program without equations that all zeros satisfy. */
  double[] worth() {
    double[] worth = new double[rows.size()];
    if (!variables.isEmpty()) {
      Access1D<?> multipliers = result().getMultipliers().orElseThrow();
      Arrays.setAll(worth, multipliers::doubleValue);
    }
    return worth;
  }

  private Optimisation.Result result() {
    LinearSolver.Builder builder = LinearSolver.newBuilder();
    builder.objective(variables.stream().mapToDouble(variable -> variable[0]).toArray());
    builder.lower(new double[variables.size()]);
    builder.upper(variables.stream().mapToDouble(variable -> variable[1]).toArray());
    for (Row row : rows) {
      if (row.equal) {
        builder.equality(row.bound, row.dense());
      } else {
        builder.inequality(row.bound, row.dense());
      }
    }
    return builder.build().solve();
  }
}
