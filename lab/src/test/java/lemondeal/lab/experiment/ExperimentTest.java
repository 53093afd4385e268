package lemondeal.lab.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import lemondeal.lab.Lab;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Experiments from their file to their result folder: errors in the file, repeatable results, and the commands. */
class ExperimentTest {
  private static final String VALID = """
      version: 1
      name: small
      question: Does it play?
      scenario:
        seconds: 8
        settle: 2
        zones: 2
        proxies: 2
        fleets: [{name: large, count: 3, cores: 2}, {name: small, count: 2, cores: 1}]
        classes: [{name: chat, load: 5, life: 5s, setup: 10ms}]
        per_second: 30
        faults: ['at 4s slow 1 of large by 3 for 2s']
      policies: [lemondeal, random]
      seeds: 4
      measure: [served, setup-p99-ms]
      expect: ['served of lemondeal > 0.5']
      """;

  @TempDir
  private Path folder;

  private Path writeFile(String text) throws IOException {
    return Files.writeString(folder.resolve("experiment.yaml"), text);
  }

  private List<String> readErrors(String text) throws IOException {
    Path file = writeFile(text);
    return assertThrows(InvalidFileException.class, () -> ExperimentReader.read(file)).errors();
  }

  private static String replaced(String from, String to) {
    assertTrue(VALID.contains(from), from);
    return VALID.replace(from, to);
  }

  @Test
  void everyErrorIsReportedWithItsLocationAndAllowedValues() throws IOException {
    assertEquals(List.of("scenario.fleets[0].cores: found 0; allowed: cores, above 0 to 1024"),
        readErrors(replaced("count: 3, cores: 2", "count: 3, cores: 0")));
    assertEquals(List.of("scenario: unknown key 'sonds'; allowed: the keys seconds, settle, zones, proxies, fleets, "
        + "classes, per_second, bursts, groups, network, store, discovery, front, rules and faults"),
        readErrors(replaced("zones: 2", "sonds: 2")));
    assertEquals(List.of("scenario: the key 'seconds' is missing; allowed: a whole number of seconds, 1 to 86400"),
        readErrors(replaced("  seconds: 8\n", "")));
    assertEquals(List.of("policies: found 'best'; allowed: lemondeal, random, round-robin, least-connections, "
        + "two-choices, rendezvous, modulo, carp, ring, ring-bounded, maglev, full-knowledge"),
        readErrors(replaced("[lemondeal, random]", "[lemondeal, best]")));
    assertEquals(List.of("policies: 'random' is listed twice; allowed: each policy once"),
        readErrors(replaced("[lemondeal, random]", "[random, random]")));
    assertEquals(List.of("scenario.faults[0]: column 17: found 'huge'; allowed: large, small, servers"),
        readErrors(replaced("slow 1 of large", "slow 1 of huge")));
    assertTrue(readErrors(replaced("[served, setup-p99-ms]", "[sold]")).get(0)
        .startsWith("measure: found 'sold'; allowed: served, worst-10s"));
    assertEquals(List.of("expect[0]: column 11: found the policy 'maglev'; allowed: lemondeal, random"),
        readErrors(replaced("served of lemondeal > 0.5", "served of maglev > 0.5")));
    assertEquals(List.of("baseline: found 'maglev'; allowed: lemondeal, random"),
        readErrors(VALID + "baseline: maglev\n"));
    assertEquals(List.of("sweep: found 'fleets.9.cores', which does not exist in scenario; allowed: a path such as "
        + "per_second or fleets.0.cores"), readErrors(VALID + "sweep: {fleets.9.cores: [1, 2]}\n"));
    assertTrue(readErrors(VALID + "sweep: {fleets.0.cores: [1, -2]}\n").get(0)
        .contains("sweep {fleets.0.cores=-2}: scenario.fleets[0].cores: found -2; allowed: cores, above 0 to 1024"));
    assertTrue(readErrors("version: 1\nversion: 1\n").get(0).startsWith("line 2"), "a duplicate key");
    assertTrue(readErrors("a: [").get(0).startsWith("line "), "invalid YAML");
    assertTrue(readErrors("").get(0).contains("found"));
    assertEquals(2, readErrors(replaced("zones: 2", "zones: 0").replace("per_second: 30", "per_second: many")).size(),
        "all errors must be reported at once");
  }

  @Test
  void sweepsAndPointsAreCombined() throws IOException {
    Experiment experiment = ExperimentReader.read(writeFile(VALID + """
        points: [{fleets.0.count: 3, per_second: 30}, {fleets.0.count: 6, per_second: 60}]
        sweep: {proxies: [2, 4], faults.0: ['at 1s kill 1 of small', 'at 1s drain 1 of small']}
        """));
    assertEquals(8, experiment.points().size());
    assertEquals(64, experiment.runCount());
    Experiment.Point last = experiment.points().get(7);
    assertEquals("count=6, proxies=4, 0=at 1s drain 1 of small", last.name());
    assertEquals(60, last.scenario().clientsPerSecond());
    assertEquals(6, last.scenario().pools().get(0).count());
    assertEquals(lemondeal.lab.emulator.Fault.Kind.DRAIN, last.scenario().faults().get(0).kind());
  }

  private String runAndDescribe(int threads, Path rows) throws Exception {
    Experiment experiment = ExperimentReader.read(writeFile(VALID));
    StringBuilder description = new StringBuilder();
    try (PrintStream quiet = new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8)) {
      List<Row> resultRows = new ExperimentRunner(experiment, threads, quiet).run(rows);
      resultRows.forEach(row -> description.append(row.key()).append(' ').append(row.digest()).append(' ')
          .append(row.figures()).append('\n'));
      description.append(new Report(experiment, resultRows).markdown());
    }
    return description.toString();
  }

  @Test
  void resultDoesNotDependOnTheNumberOfThreads() throws Exception {
    assertEquals(runAndDescribe(1, folder.resolve("one")), runAndDescribe(8, folder.resolve("eight")));
  }

  /** An experiment interrupted at any byte of its rows file gives the same result after it is resumed. */
  @Test
  void interruptedExperimentResumes() throws Exception {
    Path rows = folder.resolve("rows");
    String complete = runAndDescribe(1, rows);
    byte[] bytes = Files.readAllBytes(rows);
    for (int length : new int[] {0, 1, 1000, bytes.length / 2, bytes.length - 1}) {
      Files.write(rows, Arrays.copyOf(bytes, length));
      int keptRows = RowFile.read(rows).size();
      assertEquals(Stream.of(new String(bytes, 0, length, StandardCharsets.UTF_8).split("(?<=\n)"))
          .filter(line -> line.endsWith("\n")).count(), keptRows);
      assertEquals(complete, runAndDescribe(4, rows), "cut at " + length);
    }
    Files.writeString(rows, "no row\n");
    assertTrue(assertThrows(IOException.class, () -> RowFile.read(rows)).getMessage().contains("invalid row"));
  }

  private static int runLab(StringWriter output, String... arguments) {
    CommandLine commandLine = new CommandLine(new Lab());
    commandLine.setOut(new PrintWriter(output, true));
    commandLine.setErr(new PrintWriter(output, true));
    return commandLine.execute(arguments);
  }

  @Test
  void commandsSaveListAndCompareResults() throws IOException {
    Path file = writeFile(VALID);
    String firstFolder = folder.resolve("results/one").toString();
    StringWriter output = new StringWriter();
    assertEquals(0, runLab(output, "run", file.toString(), "--out", firstFolder, "--threads", "4"), output.toString());
    assertTrue(output.toString().contains("- every rule was kept in every run"), output.toString());
    assertTrue(output.toString().contains("- holds: served of lemondeal > 0.5"), output.toString());
    for (String name : List.of("rows.jsonl", "rows.csv", "report.md", "index.html", "served.svg", "course.svg",
        "experiment.yaml", "machine.txt")) {
      assertTrue(Files.size(folder.resolve("results/one").resolve(name)) > 20, name);
    }
    assertEquals(9, Files.readAllLines(folder.resolve("results/one/rows.csv")).size(),
        "a header and one row for each run");
    assertEquals(0, runLab(output = new StringWriter(), "list", folder.resolve("results").toString()));
    assertTrue(output.toString().contains("one: 8 runs; Does it play?"), output.toString());
    writeFile(replaced("served of lemondeal > 0.5", "served of lemondeal > 1"));
    assertEquals(2, runLab(output = new StringWriter(), "run", file.toString(), "--out", firstFolder));
    assertTrue(output.toString().contains("holds the rows of another experiment"), output.toString());
    String secondFolder = folder.resolve("results/two").toString();
    assertEquals(1, runLab(output = new StringWriter(), "run", file.toString(), "--out", secondFolder),
        "an expectation does not hold");
    assertTrue(output.toString().contains("DOES NOT HOLD: served of lemondeal > 1"), output.toString());
    assertEquals(0, runLab(output = new StringWriter(), "compare", firstFolder, secondFolder));
    assertFalse(output.toString().contains("| lemondeal | served"), "equal runs must not differ: " + output);
    writeFile(replaced("per_second: 30", "per_second: 80"));
    String thirdFolder = folder.resolve("results/three").toString();
    assertEquals(0, runLab(output = new StringWriter(), "run", file.toString(), "--out", thirdFolder),
        output.toString());
    assertEquals(0, runLab(output = new StringWriter(), "compare", firstFolder, thirdFolder));
    assertTrue(output.toString().contains("| lemondeal | clients |"), output.toString());
    assertEquals(2, runLab(output = new StringWriter(), "compare", firstFolder, folder.toString()));
    assertTrue(output.toString().contains("holds no results"), output.toString());
    writeFile("version: 2\n");
    assertEquals(2, runLab(output = new StringWriter(), "run", file.toString()));
    assertTrue(output.toString().contains("version: found 2; allowed: 1"), output.toString());
    assertEquals(2, runLab(new StringWriter(), "run", file.toString(), "--threads", "0"));
  }

  /**
   * The interval of ten values matches tables of Student's t; a difference is significant only if its interval
   * excludes 0.
   */
  @Test
  void meansHaveConfidenceIntervals() {
    Statistics.Mean mean = Statistics.mean(List.of(1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0, 10.0));
    assertEquals(5.5, mean.mean());
    assertEquals(2.262157 * Math.sqrt(55.0 / 6 / 10), mean.halfWidth(), 1e-4);
    assertTrue(Statistics.difference(List.of(1.1, 2.1, 3.2), List.of(1.0, 2.0, 3.0)).mean() > 0);
    assertFalse(Statistics.difference(List.of(1.0, 3.0, 2.0), List.of(2.0, 1.0, 2.5)).isSignificant());
    assertTrue(Statistics.difference(List.of(2.0, 3.0, 4.1), List.of(1.0, 2.0, 3.0)).isSignificant());
    assertFalse(Statistics.mean(List.of(3.0)).isSignificant(), "a single value has no variance");
  }
}
