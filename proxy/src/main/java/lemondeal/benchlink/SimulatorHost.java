package lemondeal.benchlink;

import lemondeal.Balancer;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.Start;
import lemondeal.module.DecisionModule;
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

/** Hosts named instances of the decision module and speaks the simulator's protocol on standard input and output. */
public final class SimulatorHost {
  private final Supplier<Balancer> moduleFactory;
  private final Map<String, Balancer> instances = new HashMap<>();

  SimulatorHost(Supplier<Balancer> moduleFactory) {
    this.moduleFactory = moduleFactory;
  }

  /** Serves standard input and output until the input ends; returns the exit code. */
  public static int host() throws IOException {
    return new SimulatorHost(DecisionModule::new).run(System.in, System.out, System.err);
  }

  /** Replies to batches until the input ends; returns the exit code. */
  int run(InputStream input, OutputStream output, PrintStream errors) throws IOException {
    BufferedReader reader = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
    long lineNumber = 0;
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      lineNumber++;
      try {
        output.write(reply(WireReader.read(line)));
        output.flush();
      } catch (WireException e) {
        errors.println("lemondeal: line " + lineNumber + ": " + e.getMessage());
        return 1;
      }
    }
    return 0;
  }

  private byte[] reply(WireReader.Batch batch) throws IOException {
    WireWriter writer = new WireWriter();
    for (WireReader.AddressedEvent addressedEvent : batch.events()) {
      String instanceName = addressedEvent.instance();
      if (addressedEvent.event() == null) {
        instances.remove(instanceName);
        continue;
      }
      if (addressedEvent.event() instanceof Start) {
        instances.put(instanceName, moduleFactory.get());
      }
      Balancer instance = instances.get(instanceName);
      if (instance == null) {
        throw new WireException("event for " + instanceName + ", which has not started");
      }
      try {
        for (Action action : instance.on(batch.time(), addressedEvent.event())) {
          writer.write(instanceName, action);
        }
      } catch (RuntimeException e) {
        writer.bailOut(instanceName, e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
      }
    }
    return writer.finish();
  }
}
