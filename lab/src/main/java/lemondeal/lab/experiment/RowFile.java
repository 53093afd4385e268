package lemondeal.lab.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Rows on disk as they come in, one JSON object a line, so that a run that was broken off goes on where it stopped. A last
 * line that is cut off is dropped: that run is played again.
 */
final class RowFile implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer writer;

  private RowFile(Writer writer) {
    this.writer = writer;
  }

  /** The rows that are there, by their keys. */
  static Map<String, Row> read(Path file) throws IOException {
    Map<String, Row> rows = new LinkedHashMap<>();
    if (!Files.exists(file)) {
      return rows;
    }
    long completeBytes = 0;
    for (String line : Files.readString(file).split("(?<=\n)")) {
      if (!line.endsWith("\n")) {
        break;
      }
      try {
        Row row = JSON.readValue(line, Row.class);
        rows.put(row.key(), row);
      } catch (JsonProcessingException e) {
        throw new IOException(file + " holds a line that is no row: " + e.getOriginalMessage(), e);
      }
      completeBytes += line.getBytes(StandardCharsets.UTF_8).length;
    }
    if (completeBytes < Files.size(file)) {
      try (RandomAccessFile truncated = new RandomAccessFile(file.toFile(), "rw")) {
        truncated.setLength(completeBytes);
      }
    }
    return rows;
  }

  /** Opens it to add rows. */
  static RowFile append(Path file) throws IOException {
    return new RowFile(Files.newBufferedWriter(file, StandardCharsets.UTF_8, StandardOpenOption.CREATE,
        StandardOpenOption.APPEND));
  }

  synchronized void add(Row row) throws IOException {
    writer.write(JSON.writeValueAsString(row));
    writer.write('\n');
    writer.flush();
  }

  @Override
  public void close() throws IOException {
    writer.close();
  }
}
