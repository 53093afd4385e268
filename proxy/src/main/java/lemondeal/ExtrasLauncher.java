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
final class ExtrasLauncher {
  private static final String EXTRAS_JAR = "lemondeal-extras.jar";
  private static final String ENTRY_CLASS = "lemondeal.cli.Lemondeal";

  private ExtrasLauncher() {}

  /** Runs the command; returns what {@code lemondeal.cli.Lemondeal} does. */
  static int run(String[] args) throws IOException {
    try {
      return (int) Class.forName(ENTRY_CLASS, true, loader()).getMethod("run", String[].class).invoke(null, (Object) args);
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The loader that has the libraries: this class's own, where the class path holds them. */
  private static ClassLoader loader() throws IOException {
    Path programJar = Path.of(new File(ExtrasLauncher.class.getProtectionDomain().getCodeSource().getLocation().getPath())
        .getAbsolutePath());
    Path extrasJar = programJar.resolveSibling(EXTRAS_JAR);
    if (!Files.isRegularFile(programJar) || !Files.exists(extrasJar)) {
      return ExtrasLauncher.class.getClassLoader();
    }
    URL[] urls = {programJar.toUri().toURL(), extrasJar.toUri().toURL()};
    // Stays open as long as the program runs.
    ClassLoader loader = new URLClassLoader(urls, ClassLoader.getPlatformClassLoader());
    Thread.currentThread().setContextClassLoader(loader);
    return loader;
  }
}
