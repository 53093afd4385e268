package lemondeal.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.security.DigestOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.zip.GZIPInputStream;
import lemondeal.module.DecisionModule;
import org.junit.jupiter.api.Test;

/**
 * Replays the recorded events of a simulated day of overload at three nodes: the replies must be identical. Guards
 * against unintended changes of decisions. An intended change updates the digest and explains it in its commit.
 */
class RecordedDayTest {
  private static final String REPLIES = "b88e5e304896136e013f5df5306f50e3d2ec03a7898b5d3773b090fdeb4fd550";

  @Test
  void repliesAreTheSameToTheLetter() throws IOException, NoSuchAlgorithmException {
    MessageDigest digest = MessageDigest.getInstance("SHA-256");
    ByteArrayOutputStream replies = new ByteArrayOutputStream();
    try (InputStream day = new GZIPInputStream(getClass().getResourceAsStream("/recorded-day.jsonl.gz"))) {
      assertEquals(0,
          new SimulatorHost(DecisionModule::new).run(day, new DigestOutputStream(replies, digest), System.err));
    }
    assertEquals(REPLIES, HexFormat.of().formatHex(digest.digest()), replies.size() + " bytes of replies, expected 258217");
  }
}
