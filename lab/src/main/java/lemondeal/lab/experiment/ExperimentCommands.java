package lemondeal.lab.experiment;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands for experiments: {@code run}, {@code compare}, {@code list} and {@code placement}. */
public final class ExperimentCommands {
  private static final String ROWS_FILE = "rows.jsonl";
  private static final String EXPERIMENT_FILE = "experiment.yaml";

  private ExperimentCommands() {}

  private static int usageError(CommandLine.Model.CommandSpec spec, String message) {
    spec.commandLine().getErr().println(message);
    return CommandLine.ExitCode.USAGE;
  }

  /** {@code run FILE}. */
  @Command(name = "run", mixinStandardHelpOptions = true, exitCodeListHeading = "%nExit codes:%n",
      exitCodeList = {"0:the first policy kept every rule and every expectation held",
          "1:it broke a rule, or an expectation did not hold", "2:invalid usage or file"},
      description = "Run an experiment and save its rows, tables and charts in a folder. An interrupted experiment "
          + "resumes where it stopped.")
  public static final class Run implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The experiment (YAML): docs/EXPERIMENTS.md.")
    private Path file;

    @Option(names = "--out", paramLabel = "DIR", description = "Folder for the results (results/NAME).")
    private Path out;

    @Option(names = "--threads", description = "Number of parallel runs (number of processors).")
    private Integer threads;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
      if (threads != null && (threads < 1 || threads > 1024)) {
        return usageError(spec, "--threads: found " + threads + "; allowed: 1 to 1024");
      }
      Experiment experiment;
      try {
        experiment = ExperimentReader.read(file);
      } catch (InvalidFileException e) {
        return usageError(spec, e.getMessage());
      }
      Path folder = out == null ? Path.of("results", experiment.name()) : out;
      Files.createDirectories(folder);
      String conflict = otherExperiment(folder, experiment);
      if (!conflict.isEmpty()) {
        return usageError(spec, conflict);
      }
      new YAMLMapper().writeValue(folder.resolve(EXPERIMENT_FILE).toFile(), experiment.source());
      List<Row> rows = new ExperimentRunner(experiment,
          threads == null ? Runtime.getRuntime().availableProcessors() : threads, System.err)
          .run(folder.resolve(ROWS_FILE));
      Report report = new Report(experiment, rows);
      report.write(folder);
      spec.commandLine().getOut().println(report.markdown());
      spec.commandLine().getOut().println("results saved in " + folder);
      return report.isSuccessful() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    /** Rows of another experiment must not be mixed with this one's. Returns the error, or "" if there is none. */
    private static String otherExperiment(Path folder, Experiment experiment) throws IOException {
      Path keptFile = folder.resolve(EXPERIMENT_FILE);
      if (Files.exists(keptFile) && Files.exists(folder.resolve(ROWS_FILE))
          && !new YAMLMapper().readTree(keptFile.toFile()).equals(new YAMLMapper().readTree(
              new YAMLMapper().writeValueAsString(experiment.source())))) {
        return folder + " holds the rows of another experiment, or of this one before it was changed; allowed: "
            + "another --out";
      }
      return "";
    }
  }

  /** {@code compare A B}. */
  @Command(name = "compare", mixinStandardHelpOptions = true,
      description = "Compare two results of one experiment, paired by policy, point and seed: A is before, B is after "
          + "a change.")
  public static final class Compare implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "A", description = "A folder of results.")
    private Path beforeFolder;

    @Parameters(index = "1", paramLabel = "B", description = "Another.")
    private Path afterFolder;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      for (Path folder : List.of(beforeFolder, afterFolder)) {
        if (!Files.exists(folder.resolve(ROWS_FILE))) {
          return usageError(spec, folder + " holds no results; allowed: a folder written by 'lab run'");
        }
      }
      Map<String, Row> beforeRows = RowFile.read(beforeFolder.resolve(ROWS_FILE));
      Map<String, Row> afterRows = RowFile.read(afterFolder.resolve(ROWS_FILE));
      Map<String, List<Row>> groups = new LinkedHashMap<>();
      beforeRows.values().stream().filter(row -> afterRows.containsKey(row.key()))
          .forEach(row -> groups.computeIfAbsent(
              row.policy() + (row.point().isEmpty() ? "" : " at " + row.point()), groupName -> new ArrayList<>())
              .add(row));
      if (groups.isEmpty()) {
        return usageError(spec, beforeFolder + " and " + afterFolder + " have no run in common");
      }
      spec.commandLine().getOut().println(
          "| runs | figure | before | after | difference |\n| --- | --- | --- | --- | --- |");
      groups.forEach((groupName, rows) -> rows.get(0).figures().keySet()
          .forEach(figure -> print(groupName, figure, rows, afterRows)));
      return CommandLine.ExitCode.OK;
    }

    private void print(String groupName, String figure, List<Row> rows, Map<String, Row> afterRows) {
      List<Double> beforeValues = rows.stream().map(row -> row.figures().get(figure)).toList();
      List<Double> afterValues = rows.stream()
          .map(row -> afterRows.get(row.key()).figures().getOrDefault(figure, Double.NaN)).toList();
      Statistics.Mean difference = Statistics.difference(afterValues, beforeValues);
      if (difference.isSignificant()) {
        spec.commandLine().getOut().println(String.format(Locale.ROOT, "| %s | %s | %.4g | %.4g | %+.4g ±%.2g |",
            groupName, figure, Statistics.mean(beforeValues).mean(), Statistics.mean(afterValues).mean(),
            difference.mean(), difference.halfWidth()));
      }
    }
  }

  /** {@code list}. */
  @Command(name = "list", mixinStandardHelpOptions = true, description = "List the results in a folder.")
  public static final class Results implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "DIR", defaultValue = "results",
        description = "Folder to search (${DEFAULT-VALUE}).")
    private Path folder;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws IOException {
      if (!Files.isDirectory(folder)) {
        return usageError(spec, folder + " is not a folder; allowed: a folder that contains folders of results");
      }
      try (Stream<Path> folders = Files.list(folder)) {
        for (Path resultFolder : folders.filter(path -> Files.exists(path.resolve(ROWS_FILE))).sorted().toList()) {
          var file = new YAMLMapper().readTree(resultFolder.resolve(EXPERIMENT_FILE).toFile());
          spec.commandLine().getOut().println(resultFolder.getFileName() + ": "
              + RowFile.read(resultFolder.resolve(ROWS_FILE)).size() + " runs; " + file.path("question").asText());
        }
      }
      return CommandLine.ExitCode.OK;
    }
  }

  /** {@code placement}. */
  @Command(name = "placement", mixinStandardHelpOptions = true,
      description = "Show how policies distribute keys by weight, and how many keys a change of the servers moves.")
  public static final class Placement implements Callable<Integer> {
    @Option(names = "--keys", defaultValue = "100000", description = "Number of keys (${DEFAULT-VALUE}).")
    private int keys;

    @Option(names = "--weights", split = ",", defaultValue = "1,2,3,4,1,2,3,4,1,2",
        description = "The servers' weights (${DEFAULT-VALUE}).")
    private double[] weights;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
      if (keys < 1 || keys > 10_000_000) {
        return usageError(spec, "--keys: found " + keys + "; allowed: 1 to 10000000");
      }
      for (double weight : weights) {
        if (!(weight > 0 && weight <= 1000)) {
          return usageError(spec, "--weights: found " + weight + "; allowed: above 0 to 1000");
        }
      }
      spec.commandLine().getOut().print(new PlacementTable(keys, weights).markdown());
      spec.commandLine().getOut().flush();
      return CommandLine.ExitCode.OK;
    }
  }
}
