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

/** Each kind of letter that must not count is dropped and counted; none of them moves the table. */
class IntakeTest {
  private static final long NOW = 10_000;
  private static final byte[] CONTENT = Sections.content(Map.of("zones", new byte[] {1, 2}));

  private final Sent sent = new Sent(7);
  private final Intake intake = new Intake(roster("me", "a", "b"), "me", sent);

  @BeforeEach
  void tellThreeRows() {
    sent.tell(NOW - 300);
    sent.tell(NOW - 200);
    sent.tell(NOW - 100);
  }

  static FleetRoster roster(String... names) {
    List<FleetRoster.Named> named = new ArrayList<>();
    for (String name : names) {
      named.add(new FleetRoster.Named(name, "z", new InetSocketAddress("127.0.0.1", 1)));
    }
    return new FleetRoster(named);
  }

  private static byte[] letter(String owner, long age, byte[] content, Letter.Echo echo) {
    return new Letter(new Row(owner, 5, 1, age, content), echo).bytes(0);
  }

  private void dropped(Drop why, String sender, byte[] bytes) {
    long before = intake.dropped(why);
    assertNull(intake.take(sender, bytes, NOW));
    assertEquals(before + 1, intake.dropped(why));
  }

  private static Letter.Echo mine(long sequence) {
    return new Letter.Echo(7, sequence);
  }

  @Test
  void aRowIsAsOldAsItsEchoProvesAtMost() {
    HeldRow row = intake.take("a", letter("a", 50, CONTENT, mine(2)), NOW);
    assertEquals(200, row.ageMillis(NOW), "it may have been made as soon as the second row was told");
    assertEquals(450, intake.take("a", letter("a", 450, CONTENT, mine(2)), NOW).ageMillis(NOW), "as it says itself");
    assertArrayEquals(new byte[] {1, 2}, Sections.of(row.row().content()).get("zones"));
  }

  @Test
  void whatNothingProvesIsEchoedAndNotHeld() {
    dropped(Drop.UNPROVEN, "a", letter("a", 0, CONTENT, null));
    dropped(Drop.UNPROVEN, "a", letter("a", 0, CONTENT, new Letter.Echo(6, 2)));
    assertEquals(new Letter.Echo(5, 1), intake.heard("a"));
    assertNull(intake.heard("b"));
    for (int i = 0; i < 600; i++) {
      sent.tell(NOW);
    }
    dropped(Drop.UNPROVEN, "a", letter("a", 0, CONTENT, mine(3)));
  }

  @Test
  void theTimeThatALetterWaitedIsItsRowsAge() {
    byte[] bytes = new Letter(new Row("a", 5, 1, 20, CONTENT), mine(1)).bytes(400);
    assertEquals(420, intake.take("a", bytes, NOW).ageMillis(NOW));
  }

  @Test
  void strangersAndForeignOwnersAreDropped() {
    dropped(Drop.UNNAMED, "x", letter("x", 0, CONTENT, mine(1)));
    dropped(Drop.UNNAMED, "a", letter("x", 0, CONTENT, mine(1)));
    dropped(Drop.FOREIGN, "a", letter("b", 0, CONTENT, mine(1)));
    dropped(Drop.FOREIGN, "me", letter("me", 0, CONTENT, mine(1)));
    assertNull(intake.heard("a"));
  }

  @Test
  void whatIsTooLargeIsDropped() {
    dropped(Drop.TOO_LARGE, "a", letter("a", 0, new byte[Row.MOST_CONTENT + 1], mine(1)));
    dropped(Drop.TOO_LARGE, "a", new byte[Letter.MOST_BYTES + 1]);
  }

  @Test
  void whatIsNoLetterOrUntrueIsDropped() {
    dropped(Drop.GARBLED, "a", new byte[] {7, 7, 7});
    dropped(Drop.GARBLED, "a", letter("a", -1, CONTENT, mine(1)));
    dropped(Drop.GARBLED, "a", letter("a", 0, new byte[] {9, 9}, mine(1)));
    dropped(Drop.GARBLED, "a", letter("a", 0, CONTENT, mine(4)));
    dropped(Drop.GARBLED, "a", new Letter(new Row("a", 0, 1, 0, CONTENT), mine(1)).bytes(0));
    dropped(Drop.GARBLED, "a", new Letter(new Row("a", 5, 0, 0, CONTENT), mine(1)).bytes(0));
    byte[] whole = letter("a", 0, CONTENT, mine(1));
    Random random = new Random(24);
    for (int i = 0; i < 20_000; i++) {
      byte[] bytes = Arrays.copyOf(whole, 1 + random.nextInt(whole.length + 8));
      bytes[random.nextInt(bytes.length)] ^= (byte) random.nextInt(256);
      HeldRow row = intake.take("a", bytes, NOW);
      assertTrue(row == null || row.row().owner().equals("a"));
    }
  }

  @Test
  void aNewerVersionIsIgnoredWhole() throws Exception {
    byte[] newer = FleetLetter.parseFrom(letter("a", 0, CONTENT, mine(1))).toBuilder().setVersion(2).build()
        .toByteArray();
    dropped(Drop.NEWER_VERSION, "a", newer);
    assertNull(intake.heard("a"));
  }

  @Test
  void aMajorityIsOfThoseNamed() {
    FleetRoster five = roster("a", "b", "c", "d", "e");
    assertFalse(five.isMajority(Set.of("a", "b")));
    assertTrue(five.isMajority(Set.of("a", "b", "c")));
    assertFalse(five.isMajority(Set.of("a", "b", "x", "y")));
    assertFalse(roster("a", "b", "c", "d").isMajority(Set.of("a", "b")), "a half is none");
    assertThrows(IllegalArgumentException.class, () -> roster("a", "a"));
    String[] many = new String[201];
    Arrays.setAll(many, i -> "p-" + i);
    assertThrows(IllegalArgumentException.class, () -> roster(many));
  }

  @Test
  void theSameSectionsAreTheSameBytes() {
    Map<String, byte[]> one = new java.util.LinkedHashMap<>();
    one.put("b", new byte[] {2});
    one.put("a", new byte[] {1});
    Map<String, byte[]> other = new java.util.TreeMap<>(one);
    assertArrayEquals(Sections.content(one), Sections.content(other));
    assertNotNull(Sections.of(Sections.content(one)).get("a"));
  }

  @Test
  void bytesToAPeerAreBoundedWhateverChanges() {
    Pace pace = new Pace(200, NOW);
    assertEquals(NOW, pace.nextAt(false));
    pace.told(NOW, 1000);
    assertEquals(NOW + 200, pace.nextAt(false));
    assertEquals(NOW + 50, pace.nextAt(true));
    pace.told(NOW, 32 * 1024);
    assertEquals(NOW + 500, pace.nextAt(true));
  }
}
