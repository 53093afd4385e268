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
 * The file of an experiment's rows, one JSON object a line, written as the runs finish, so that an interrupted
 * experiment resumes where it stopped. An incomplete last line is dropped, and its run is repeated.
 */
final class RowFile implements AutoCloseable {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Writer writer;

  private RowFile(Writer writer) {
    this.writer = writer;
  }

  /** Reads the existing rows by their keys, and truncates an incomplete last line. */
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
        throw new IOException(file + " holds an invalid row: " + e.getOriginalMessage(), e);
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

  /** Opens the file to append rows. */
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
