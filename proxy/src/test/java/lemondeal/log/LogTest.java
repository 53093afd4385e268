package lemondeal.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class LogTest {
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  private String text() {
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void jsonLogWritesOneObjectPerLineWithNamedFields() throws IOException {
    JsonLog log = new JsonLog(output, "n\"0\"");
    log.info("listening", "lemondeal: listening on 1.2.3.4:5", "address", "1.2.3.4:5", "count", 3);
    log.failure("lemondeal: failed inside", new IllegalStateException("why\nso"));
    String[] lines = text().split("\n");
    assertEquals(2, lines.length, () -> "[" + text() + "]");
    JsonNode first = new ObjectMapper().readTree(lines[0]);
    assertEquals("listening", first.get("event").asText());
    assertEquals("n\"0\"", first.get("proxy").asText());
    assertEquals("1.2.3.4:5", first.get("address").asText());
    assertEquals(3, first.get("count").asInt());
    assertEquals("INFO", first.get("level").asText());
    assertEquals("lemondeal: listening on 1.2.3.4:5", first.get("message").asText());
    Instant.parse(first.get("time").asText());
    JsonNode second = new ObjectMapper().readTree(lines[1]);
    assertEquals("failed-inside", second.get("event").asText());
    assertTrue(second.get("stack").asText().contains("why\nso"));
  }

  @Test
  void plainLogWritesTheLineUnchanged() {
    new PlainLog(new PrintStream(output, true)).info("ready", "lemondeal: ready", "field", 1);
    assertEquals("lemondeal: ready" + System.lineSeparator(), text());
  }
}
