package lemondeal.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import lemondeal.fleet.wire.FleetSections;

/** A row's content: the data that each subsystem publishes, by the subsystem's name. */
public final class Sections {
  private Sections() {}

  /** Encodes the sections; the result does not depend on their order. */
  public static byte[] encode(Map<String, byte[]> sections) {
    FleetSections.Builder builder = FleetSections.newBuilder();
    sections.forEach((name, bytes) -> builder.putSections(name, ByteString.copyFrom(bytes)));
    FleetSections message = builder.build();
    byte[] content = new byte[message.getSerializedSize()];
    CodedOutputStream out = CodedOutputStream.newInstance(content);
    out.useDeterministicSerialization();
    try {
      message.writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return content;
  }

  static boolean isValid(byte[] content) {
    try {
      FleetSections.parseFrom(content);
      return true;
    } catch (InvalidProtocolBufferException e) {
      return false;
    }
  }

  /** @throws IllegalArgumentException if the content cannot be decoded */
  public static Map<String, byte[]> decode(byte[] content) {
    try {
      Map<String, byte[]> sections = new TreeMap<>();
      FleetSections.parseFrom(content).getSectionsMap()
          .forEach((name, bytes) -> sections.put(name, bytes.toByteArray()));
      return sections;
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e.getMessage());
    }
  }
}
