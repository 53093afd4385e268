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

/** Collects the actions of one batch as a reply; nothing is given out before the reply is whole. */
final class WireWriter {
  private static final JsonFactory JSON = new JsonFactory();

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final JsonGenerator out;

  WireWriter() throws IOException {
    out = JSON.createGenerator(bytes);
    out.writeStartObject();
    out.writeArrayFieldStart("decisions");
  }

  byte[] finish() throws IOException {
    out.writeEndArray();
    out.writeEndObject();
    out.close();
    bytes.write('\n');
    return bytes.toByteArray();
  }

  void bailOut(String instance, String text) throws IOException {
    start("BAIL_OUT", instance);
    out.writeString(text);
    out.writeEndArray();
  }

  void write(String instance, Action action) throws IOException {
    // A chain of tests rather than a switch: pattern switches are only a preview in Java 17.
    if (action instanceof Send a) {
      start("RELAY", instance, a.id());
      out.writeNumber(a.timeout());
      out.writeString(a.server());
    } else if (action instanceof WakeAfter a) {
      start("TIMER", instance);
      out.writeNumber(a.delay());
      out.writeNumber(a.token());
    } else if (action instanceof Move a) {
      start("RELOCATE", instance, a.id());
    } else if (action instanceof Refuse a) {
      start("OVERLOAD_REPLY", instance, a.id());
      out.writeNumber(a.retryAfter());
    } else if (action instanceof Fail a) {
      start("RESPOND_ERROR", instance, a.id());
    } else if (action instanceof CancelAttempt a) {
      start("ABORT_ATTEMPT", instance, a.id());
      out.writeNumber(a.attempt());
    } else if (action instanceof Probe a) {
      start("PROBE", instance, a.server());
    } else if (action instanceof CloseIdle a) {
      start("SHUT_IDLE", instance, a.server());
    } else if (action instanceof TellPeer a) {
      start("WRITE_PEER", instance);
      out.writeNumber(a.peer());
      out.writeString(a.text());
    } else if (action instanceof Subscribe a) {
      start("FOLLOW", instance);
      out.writeBoolean(a.on());
    } else if (action instanceof FetchList) {
      start("LOOKUP", instance);
    } else if (action instanceof Log a) {
      start("RECORD", instance, a.text());
    }
    out.writeEndArray();
  }

  private void start(String name, String... values) throws IOException {
    out.writeStartArray();
    out.writeString(name);
    for (String value : values) {
      out.writeString(value);
    }
  }
}
