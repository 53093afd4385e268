package lemondeal;

import java.io.IOException;
import lemondeal.config.Addresses;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.proxy.Proxy;

/** The program: {@code serve} runs one real proxy, {@code benchlink} the module on the simulator's wire. */
public final class Main {
  private static final int BAD_USE = 2;

  private Main() {}

  public static void main(String[] args) throws IOException {
    String word = args.length == 1 ? args[0] : "";
    switch (word) {
      case "serve" -> serve();
      case "benchlink" -> System.exit(lemondeal.benchlink.Main.host());
      default -> {
        System.err.println("usage: java -jar lemondeal.jar serve | benchlink");
        System.exit(BAD_USE);
      }
    }
  }

  private static void serve() {
    try {
      Config config = Config.read(System.getenv());
      Proxy proxy = new Proxy(config, new Logic(), System.err);
      Reload reload = new Reload(config, System.getenv(), proxy::reconfigure, System.err);
      Hangup.handle(reload::request);
      proxy.start();
      System.err.println("lemondeal: listening on " + Addresses.text(proxy.localAddress()));
      if (proxy.adminAddress() != null) {
        System.err.println("lemondeal: second address " + Addresses.text(proxy.adminAddress()));
      }
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(proxy), "stop"));
    } catch (ConfigException | IOException e) {
      System.err.println("lemondeal: " + e.getMessage());
      System.exit(BAD_USE);
    }
  }

  /** Runs on SIGTERM; the process ends when this returns. */
  private static void stop(Proxy proxy) {
    try {
      System.err.println("lemondeal: stopping");
      proxy.stop();
      System.err.println("lemondeal: stopped");
      Runtime.getRuntime().halt(0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
