package lemondeal;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Command lines by which tests start the program from the compiled classes instead of its jar. */
public final class ProgramCommands {
  /**
   * Prefix that runs a command with the default disposition of the signals that the program handles. A signal that the
   * parent process of the tests ignores, as under {@code nohup}, would be ignored in child processes too.
   */
  public static final List<String> DEFAULT_SIGNALS = List.of("env", "--default-signal=HUP,INT,TERM");
  /** Prefix that runs a command with these signals ignored, as under a supervisor that ignores them. */
  public static final List<String> IGNORED_SIGNALS =
      List.of("sh", "-c", "trap '' HUP INT TERM; exec \"$@\"", "sh");

  private static final String RUN_KEY = "run = \"";
  private static final String JAVA_WORD = "java ";
  private static final String JAR_OPTION = " -jar ";

  private ProgramCommands() {}

  /** {@code serve} without JVM flags, with default signal dispositions. */
  public static List<String> serve() {
    List<String> command = new ArrayList<>(DEFAULT_SIGNALS);
    command.addAll(serveWithInheritedSignals());
    return command;
  }

  /** {@code serve} without JVM flags, with inherited signal dispositions. */
  public static List<String> serveWithInheritedSignals() {
    return List.of(java(), "-cp", classPath(), "lemondeal.Main", "serve");
  }

  /** The main method of this class, with default signal dispositions. */
  public static List<String> java(Class<?> main) {
    List<String> command = new ArrayList<>(DEFAULT_SIGNALS);
    command.addAll(List.of(java(), "-cp", classPath(), main.getName()));
    return command;
  }

  /** The JVM flags in the deploy file. */
  public static List<String> deployedFlags() throws IOException {
    String line = deployedRunLine();
    return List.of(line.substring(line.indexOf(JAVA_WORD) + JAVA_WORD.length(), line.indexOf(JAR_OPTION)).split(" "));
  }

  /** The deploy file's whole {@code run} command, for a shell. */
  public static List<String> deployed() throws IOException {
    String line = deployedRunLine();
    String start = line.substring(RUN_KEY.length(), line.indexOf(JAVA_WORD));
    String flags = String.join(" ", deployedFlags());
    return List.of("sh", "-c", start + java() + " " + flags + " -cp " + classPath() + " lemondeal.Main serve");
  }

  private static String deployedRunLine() throws IOException {
    return Files.readAllLines(Path.of("../deploy/balancer.toml")).stream()
        .filter(each -> each.startsWith(RUN_KEY)).findFirst().orElseThrow();
  }

  /** The {@code java} executable of this JVM. */
  public static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  /** The tests' class path with absolute paths. */
  public static String classPath() {
    return Stream.of(System.getProperty("java.class.path").split(File.pathSeparator))
        .map(each -> Path.of(each).toAbsolutePath().toString()).collect(Collectors.joining(File.pathSeparator));
  }
}
