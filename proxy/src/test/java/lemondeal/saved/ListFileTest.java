package lemondeal.saved;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import lemondeal.log.PlainLog;
import lemondeal.membership.Health;
import lemondeal.membership.Member;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The last good list on disk: the file is read completely or ignored, whatever happened to it. */
class ListFileTest {
  private static final String SOURCE = "consul link";
  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private final PlainLog log = new PlainLog(new PrintStream(logOutput, true, StandardCharsets.UTF_8));
  private long now = 1_000_000;

  @TempDir
  private Path folder;

  private ListFile open() {
    return new ListFile(new ListFile.Settings(folder.resolve("deep/last.list"), 60_000, 3_600_000), () -> now, log);
  }

  private static List<Member> members(int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new Member("node/s" + i, "b", "small", i,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), 80 + i),
          Health.values()[i % Health.values().length], 10, 1, 7 + i));
    }
    return members;
  }

  /** close() writes the pending list over the earlier one. */
  private byte[] saveAndReadBytes(List<Member> members) throws IOException {
    ListFile file = open();
    file.save(SOURCE, members(1));
    file.save(SOURCE, members);
    file.close();
    return Files.readAllBytes(folder.resolve("deep/last.list"));
  }

  @Test
  void newestListRoundTripsWithIpv4AndIpv6Addresses() throws IOException {
    List<Member> members = members(9);
    members.add(new Member("six", "", "", 0, new InetSocketAddress(InetAddress.getByName("::1"), 9), Health.PASSING,
        1, 1, 0));
    saveAndReadBytes(members);
    assertEquals(members, open().read(SOURCE));
    assertEquals(List.of(), open().read("consul other"), "another service's list");
    assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("it has the list of consul link, not consul other"));
    now += 60_001;
    assertEquals(List.of(), open().read(SOURCE), "too old");
    assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("60 s old; allowed: 60 s"),
        logOutput.toString(StandardCharsets.UTF_8));
  }

  @Test
  void missingFileYieldsNoListAndNoWarning() {
    assertEquals(List.of(), open().read(SOURCE));
    assertEquals("", logOutput.toString(StandardCharsets.UTF_8));
  }

  /** Truncated at any byte or corrupted anywhere: logged and ignored, never read in part. */
  @Test
  void truncatedOrCorruptFileIsIgnored() throws IOException {
    byte[] intact = saveAndReadBytes(members(3));
    Path listFile = folder.resolve("deep/last.list");
    for (int length = 0; length < intact.length; length++) {
      Files.write(listFile, Arrays.copyOf(intact, length));
      assertEquals(List.of(), open().read(SOURCE), "truncated at " + length);
    }
    Random random = new Random(5);
    for (int i = 0; i < 300; i++) {
      byte[] damaged = intact.clone();
      damaged[random.nextInt(intact.length)] ^= (byte) (1 + random.nextInt(255));
      Files.write(listFile, damaged);
      assertEquals(List.of(), open().read(SOURCE));
    }
    assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("its checksum does not match"));
    assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("no list of this program's"));
  }

  /** A write error is logged, the previous list stays, and no caller blocks. */
  @Test
  void failedWriteIsLoggedAndThePreviousListStays() throws IOException {
    saveAndReadBytes(members(2));
    Files.createDirectory(folder.resolve("deep/last.list.new"));
    ListFile file = open();
    file.save(SOURCE, members(5));
    file.close();
    assertTrue(logOutput.toString(StandardCharsets.UTF_8).contains("can't be saved"));
    assertEquals(members(2), open().read(SOURCE));
    file.save(SOURCE, members(6));
    assertEquals(members(2), open().read(SOURCE), "closed");
  }
}
