package lemondeal;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The program with all its libraries: every command but the platform's two. The libraries stand in a jar of their own,
 * read through a class loader of their own. On the class path, even as a jar's {@code Class-Path}, the JDK's look-up of
 * logging services opened it at each start, for 3 MB and some milliseconds.
 */
final class FullProgram {
  private static final String LIBRARIES = "lemondeal-extras.jar";
  private static final String ENTRY = "lemondeal.cli.Lemondeal";

  private FullProgram() {}

  /** Runs the command; returns what {@code lemondeal.cli.Lemondeal} does. */
  static int run(String[] args) throws IOException {
    try {
      return (int) Class.forName(ENTRY, true, loader()).getMethod("run", String[].class).invoke(null, (Object) args);
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The loader that has the libraries: this class's own, where the class path holds them. */
  private static ClassLoader loader() throws IOException {
    Path program = Path.of(new File(FullProgram.class.getProtectionDomain().getCodeSource().getLocation().getPath())
        .getAbsolutePath());
    Path libraries = program.resolveSibling(LIBRARIES);
    if (!Files.isRegularFile(program) || !Files.exists(libraries)) {
      return FullProgram.class.getClassLoader();
    }
    URL[] both = {program.toUri().toURL(), libraries.toUri().toURL()};
    // Stays open as long as the program runs.
    ClassLoader loader = new URLClassLoader(both, ClassLoader.getPlatformClassLoader());
    Thread.currentThread().setContextClassLoader(loader);
    return loader;
  }
}
