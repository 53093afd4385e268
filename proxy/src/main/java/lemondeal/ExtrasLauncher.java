package lemondeal;

import java.io.File;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Runs the commands that need all libraries, which are all but the platform's two. The libraries are in a separate
 * jar, loaded by a separate class loader. With that jar on the class path, even through the manifest's
 * {@code Class-Path}, the JDK's look-up of logging services opened it at each start, which cost 3 MB and some
 * milliseconds.
 */
final class ExtrasLauncher {
  private static final String EXTRAS_JAR = "lemondeal-extras.jar";
  private static final String ENTRY_CLASS = "lemondeal.cli.Lemondeal";

  private ExtrasLauncher() {}

  /** Runs the command; returns the result of {@code lemondeal.cli.Lemondeal}. */
  static int run(String[] args) throws IOException {
    try {
      return (int) Class.forName(ENTRY_CLASS, true, loader()).getMethod("run", String[].class)
          .invoke(null, (Object) args);
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The class loader of the libraries: this class's own one if they are on the class path. */
  private static ClassLoader loader() throws IOException {
    Path programJar = Path.of(
        new File(ExtrasLauncher.class.getProtectionDomain().getCodeSource().getLocation().getPath())
        .getAbsolutePath());
    Path extrasJar = programJar.resolveSibling(EXTRAS_JAR);
    if (!Files.isRegularFile(programJar) || !Files.exists(extrasJar)) {
      return ExtrasLauncher.class.getClassLoader();
    }
    URL[] urls = {programJar.toUri().toURL(), extrasJar.toUri().toURL()};
    // Not closed: it is needed as long as the program runs.
    ClassLoader loader = new URLClassLoader(urls, ClassLoader.getPlatformClassLoader());
    Thread.currentThread().setContextClassLoader(loader);
    return loader;
  }
}
