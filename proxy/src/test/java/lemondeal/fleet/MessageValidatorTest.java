package lemondeal.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import lemondeal.fleet.wire.FleetLetter;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Every kind of invalid message is dropped and counted, and none changes the table. */
class MessageValidatorTest {
  private static final long NOW = 10_000;
  private static final byte[] CONTENT = Sections.encode(Map.of("zones", new byte[] {1, 2}));

  private final SentRows sentRows = new SentRows(7);
  private final MessageValidator validator = new MessageValidator(roster("me", "a", "b"), "me", sentRows);

  @BeforeEach
  void recordThreeSends() {
    sentRows.recordSend(NOW - 300);
    sentRows.recordSend(NOW - 200);
    sentRows.recordSend(NOW - 100);
  }

  static FleetRoster roster(String... names) {
    List<FleetRoster.Member> members = new ArrayList<>();
    for (String name : names) {
      members.add(new FleetRoster.Member(name, "z", new InetSocketAddress("127.0.0.1", 1)));
    }
    return new FleetRoster(members);
  }

  private static byte[] message(String owner, long ageMillis, byte[] content, FleetMessage.Echo echo) {
    return new FleetMessage(new MemberRow(owner, 5, 1, ageMillis, content), echo).encode(0);
  }

  private void assertDropped(DropReason reason, String sender, byte[] bytes) {
    long before = validator.dropCount(reason);
    assertNull(validator.validate(sender, bytes, NOW));
    assertEquals(before + 1, validator.dropCount(reason));
  }

  private static FleetMessage.Echo ownEcho(long sequence) {
    return new FleetMessage.Echo(7, sequence);
  }

  @Test
  void echoBoundsTheAgeOfARow() {
    TimedRow row = validator.validate("a", message("a", 50, CONTENT, ownEcho(2)), NOW);
    assertEquals(200, row.ageMillis(NOW), "it may have been created as early as the second row was sent");
    assertEquals(450, validator.validate("a", message("a", 450, CONTENT, ownEcho(2)), NOW).ageMillis(NOW),
        "the age it reports is larger");
    assertArrayEquals(new byte[] {1, 2}, Sections.decode(row.row().content()).get("zones"));
  }

  @Test
  void rowsWithoutUsableEchoAreEchoedButDropped() {
    assertDropped(DropReason.UNPROVEN, "a", message("a", 0, CONTENT, null));
    assertDropped(DropReason.UNPROVEN, "a", message("a", 0, CONTENT, new FleetMessage.Echo(6, 2)));
    assertEquals(new FleetMessage.Echo(5, 1), validator.lastReceived("a"));
    assertNull(validator.lastReceived("b"));
    for (int i = 0; i < 600; i++) {
      sentRows.recordSend(NOW);
    }
    assertDropped(DropReason.UNPROVEN, "a", message("a", 0, CONTENT, ownEcho(3)));
  }

  @Test
  void queueingTimeCountsAsAge() {
    byte[] bytes = new FleetMessage(new MemberRow("a", 5, 1, 20, CONTENT), ownEcho(1)).encode(400);
    assertEquals(420, validator.validate("a", bytes, NOW).ageMillis(NOW));
  }

  @Test
  void unknownSendersAndForeignOwnersAreDropped() {
    assertDropped(DropReason.UNNAMED, "x", message("x", 0, CONTENT, ownEcho(1)));
    assertDropped(DropReason.UNNAMED, "a", message("x", 0, CONTENT, ownEcho(1)));
    assertDropped(DropReason.FOREIGN, "a", message("b", 0, CONTENT, ownEcho(1)));
    assertDropped(DropReason.FOREIGN, "me", message("me", 0, CONTENT, ownEcho(1)));
    assertNull(validator.lastReceived("a"));
  }

  @Test
  void oversizedMessagesAreDropped() {
    assertDropped(DropReason.TOO_LARGE, "a", message("a", 0, new byte[MemberRow.MAX_CONTENT_BYTES + 1], ownEcho(1)));
    assertDropped(DropReason.TOO_LARGE, "a", new byte[FleetMessage.MAX_BYTES + 1]);
  }

  @Test
  void malformedAndImpossibleMessagesAreDropped() {
    assertDropped(DropReason.GARBLED, "a", new byte[] {7, 7, 7});
    assertDropped(DropReason.GARBLED, "a", message("a", -1, CONTENT, ownEcho(1)));
    assertDropped(DropReason.GARBLED, "a", message("a", 0, new byte[] {9, 9}, ownEcho(1)));
    assertDropped(DropReason.GARBLED, "a", message("a", 0, CONTENT, ownEcho(4)));
    assertDropped(DropReason.GARBLED, "a",
        new FleetMessage(new MemberRow("a", 0, 1, 0, CONTENT), ownEcho(1)).encode(0));
    assertDropped(DropReason.GARBLED, "a",
        new FleetMessage(new MemberRow("a", 5, 0, 0, CONTENT), ownEcho(1)).encode(0));
    byte[] valid = message("a", 0, CONTENT, ownEcho(1));
    Random random = new Random(24);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = Arrays.copyOf(valid, 1 + random.nextInt(valid.length + 8));
      bytes[random.nextInt(bytes.length)] ^= (byte) random.nextInt(256);
      TimedRow row = validator.validate("a", bytes, NOW);
      assertTrue(row == null || row.row().owner().equals("a"));
    }
  }

  @Test
  void newerVersionIsDropped() throws Exception {
    byte[] newer = FleetLetter.parseFrom(message("a", 0, CONTENT, ownEcho(1))).toBuilder().setVersion(2).build()
        .toByteArray();
    assertDropped(DropReason.NEWER_VERSION, "a", newer);
    assertNull(validator.lastReceived("a"));
  }

  @Test
  void majorityIsOfConfiguredMembers() {
    FleetRoster five = roster("a", "b", "c", "d", "e");
    assertFalse(five.isMajority(Set.of("a", "b")));
    assertTrue(five.isMajority(Set.of("a", "b", "c")));
    assertFalse(five.isMajority(Set.of("a", "b", "x", "y")));
    assertFalse(roster("a", "b", "c", "d").isMajority(Set.of("a", "b")), "one half is not a majority");
    assertThrows(IllegalArgumentException.class, () -> roster("a", "a"));
    String[] many = new String[201];
    Arrays.setAll(many, i -> "p-" + i);
    assertThrows(IllegalArgumentException.class, () -> roster(many));
  }

  @Test
  void sectionsEncodeDeterministically() {
    Map<String, byte[]> unsorted = new java.util.LinkedHashMap<>();
    unsorted.put("b", new byte[] {2});
    unsorted.put("a", new byte[] {1});
    Map<String, byte[]> sorted = new java.util.TreeMap<>(unsorted);
    assertArrayEquals(Sections.encode(unsorted), Sections.encode(sorted));
    assertNotNull(Sections.decode(Sections.encode(unsorted)).get("a"));
  }

  @Test
  void bytesPerPeerAreBounded() {
    SendPacer pacer = new SendPacer(200, NOW);
    assertEquals(NOW, pacer.nextSendAt(false));
    pacer.recordSend(NOW, 1000);
    assertEquals(NOW + 200, pacer.nextSendAt(false));
    assertEquals(NOW + 50, pacer.nextSendAt(true));
    pacer.recordSend(NOW, 32 * 1024);
    assertEquals(NOW + 500, pacer.nextSendAt(true));
  }
}
