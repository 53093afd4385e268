package lemondeal.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import lemondeal.Balancer.Action;
import lemondeal.Balancer.CancelAttempt;
import lemondeal.Balancer.CloseIdle;
import lemondeal.Balancer.Fail;
import lemondeal.Balancer.FetchList;
import lemondeal.Balancer.Log;
import lemondeal.Balancer.Move;
import lemondeal.Balancer.Probe;
import lemondeal.Balancer.Refuse;
import lemondeal.Balancer.Send;
import lemondeal.Balancer.Subscribe;
import lemondeal.Balancer.TellPeer;
import lemondeal.Balancer.WakeAfter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Builds the reply to one batch in memory; it is only available as a whole. */
final class WireWriter {
  private static final JsonFactory JSON = new JsonFactory();

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final JsonGenerator generator;

  WireWriter() throws IOException {
    generator = JSON.createGenerator(bytes);
    generator.writeStartObject();
    generator.writeArrayFieldStart("decisions");
  }

  byte[] finish() throws IOException {
    generator.writeEndArray();
    generator.writeEndObject();
    generator.close();
    bytes.write('\n');
    return bytes.toByteArray();
  }

  void bailOut(String instance, String text) throws IOException {
    beginAction("BAIL_OUT", instance);
    generator.writeString(text);
    generator.writeEndArray();
  }

  void write(String instance, Action action) throws IOException {
    // Uses instanceof rather than a switch: pattern switches are only a preview in Java 17.
    if (action instanceof Send a) {
      beginAction("RELAY", instance, a.id());
      generator.writeNumber(a.timeout());
      generator.writeString(a.server());
    } else if (action instanceof WakeAfter a) {
      beginAction("TIMER", instance);
      generator.writeNumber(a.delay());
      generator.writeNumber(a.token());
    } else if (action instanceof Move a) {
      beginAction("RELOCATE", instance, a.id());
    } else if (action instanceof Refuse a) {
      beginAction("OVERLOAD_REPLY", instance, a.id());
      generator.writeNumber(a.retryAfter());
    } else if (action instanceof Fail a) {
      beginAction("RESPOND_ERROR", instance, a.id());
    } else if (action instanceof CancelAttempt a) {
      beginAction("ABORT_ATTEMPT", instance, a.id());
      generator.writeNumber(a.attempt());
    } else if (action instanceof Probe a) {
      beginAction("PROBE", instance, a.server());
    } else if (action instanceof CloseIdle a) {
      beginAction("SHUT_IDLE", instance, a.server());
    } else if (action instanceof TellPeer a) {
      beginAction("WRITE_PEER", instance);
      generator.writeNumber(a.peer());
      generator.writeString(a.text());
    } else if (action instanceof Subscribe a) {
      beginAction("FOLLOW", instance);
      generator.writeBoolean(a.on());
    } else if (action instanceof FetchList) {
      beginAction("LOOKUP", instance);
    } else if (action instanceof Log a) {
      beginAction("RECORD", instance, a.text());
    }
    generator.writeEndArray();
  }

  private void beginAction(String name, String... values) throws IOException {
    generator.writeStartArray();
    generator.writeString(name);
    for (String value : values) {
      generator.writeString(value);
    }
  }
}
