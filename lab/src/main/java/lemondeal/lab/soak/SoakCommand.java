package lemondeal.lab.soak;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code lab soak}: runs the randomized fault soak for several seeds, one after another. */
@Command(name = "soak", mixinStandardHelpOptions = true, exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:no rule was broken", "1:a rule was broken; one line for each violation", "2:invalid usage"},
    description = "Run real proxies under random, overlapping faults and check every rule from outside.")
public final class SoakCommand implements Callable<Integer> {
  private static final int MAX_PROXIES = 40;
  private static final int MAX_SERVERS = 64;
  private static final int MAX_SECONDS = 600;

  @Option(names = "--from", defaultValue = "1", description = "The first seed (${DEFAULT-VALUE}).")
  private long firstSeed;

  @Option(names = "--seeds", defaultValue = "1", description = "Number of seeds (${DEFAULT-VALUE}).")
  private int seedCount;

  @Option(names = "--proxies", defaultValue = "10", description = "Number of proxy processes (${DEFAULT-VALUE}).")
  private int proxyCount;

  @Option(names = "--servers", defaultValue = "8", description = "Number of stand-in servers (${DEFAULT-VALUE}).")
  private int serverCount;

  @Option(names = "--seconds", defaultValue = "15",
      description = "Seconds of fault injection for each seed (${DEFAULT-VALUE}).")
  private int seconds;

  @Option(names = "--out", paramLabel = "FOLDER", defaultValue = "target/soak",
      description = "Folder for plans, configurations and logs (${DEFAULT-VALUE}).")
  private Path folder;

  @CommandLine.Spec
  private CommandLine.Model.CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    checkRange("--seeds", seedCount, 1, Integer.MAX_VALUE);
    checkRange("--proxies", proxyCount, 1, MAX_PROXIES);
    checkRange("--servers", serverCount, 1, MAX_SERVERS);
    checkRange("--seconds", seconds, 1, MAX_SECONDS);
    int failedSeeds = 0;
    for (long seed = firstSeed; seed < firstSeed + seedCount; seed++) {
      Soak.Result result = Soak.run(seed, new Soak.Size(proxyCount, serverCount, seconds * 1_000L),
          folder.resolve("seed-" + seed), new PrintStream(OutputStream.nullOutputStream()));
      System.out.println("seed " + seed + ": " + result.violations().size() + " violations; " + result.summary());
      result.violations().forEach(violation -> System.out.println("  " + violation));
      System.out.flush();
      failedSeeds += result.violations().isEmpty() ? 0 : 1;
    }
    System.out.println(failedSeeds + " of " + seedCount + " seeds broke a rule");
    return failedSeeds == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
  }

  private void checkRange(String name, int value, int min, int max) {
    if (value < min || value > max) {
      throw new CommandLine.ParameterException(spec.commandLine(), name + ": found " + value + "; allowed: " + min
          + " to " + max);
    }
  }
}
