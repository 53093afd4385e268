package lemondeal.benchlink;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Start;
import lemondeal.module.Logic;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Hosts instances of the module by name and speaks the simulator's wire on the standard streams. */
public final class Main {
  private final Supplier<Balancer> maker;
  private final Map<String, Balancer> instances = new HashMap<>();

  Main(Supplier<Balancer> maker) {
    this.maker = maker;
  }

  /** Serves the standard streams until the input ends; returns the exit code. */
  public static int host() throws IOException {
    return new Main(Logic::new).run(System.in, System.out, System.err);
  }

  /** Answers batches until the input ends; returns the exit code. */
  int run(InputStream input, OutputStream output, PrintStream errors) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
    long number = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      number++;
      try {
        output.write(reply(WireReader.read(line)));
        output.flush();
      } catch (WireException e) {
        errors.println("lemondeal: line " + number + ": " + e.getMessage());
        return 1;
      }
    }
    return 0;
  }

  private byte[] reply(WireReader.Batch batch) throws IOException {
    WireWriter out = new WireWriter();
    for (WireReader.Addressed addressed : batch.events()) {
      String name = addressed.instance();
      if (addressed.event() == null) {
        instances.remove(name);
        continue;
      }
      if (addressed.event() instanceof Start) {
        instances.put(name, maker.get());
      }
      Balancer instance = instances.get(name);
      if (instance == null) {
        throw new WireException("event for " + name + ", which has not started");
      }
      try {
        for (Action action : instance.on(batch.time(), addressed.event())) {
          out.write(name, action);
        }
      } catch (RuntimeException e) {
        out.bailOut(name, e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
      }
    }
    return out.finish();
  }
}
