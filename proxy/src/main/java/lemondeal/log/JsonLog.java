package lemondeal.log;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.OutputStreamAppender;
import java.io.OutputStream;
import net.logstash.logback.encoder.LogstashEncoder;
import net.logstash.logback.fieldnames.LogstashFieldNames;

/**
 * Writes one JSON object per line: time, level, event, message, and the event's fields. Uses Logback with the Logstash
 * encoder, which writes fields at the top level; Logback's own JSON encoder puts them into a list.
 */
public final class JsonLog implements EventLog {
  private final Logger logger;

  /** @param proxy the proxy's name, written in every line */
  public JsonLog(OutputStream out, String proxy) {
    LoggerContext context = new LoggerContext();
    context.setMDCAdapter(new LogbackMDCAdapter());
    LogstashEncoder encoder = new LogstashEncoder();
    encoder.setContext(context);
    encoder.setFieldNames(fieldNames());
    encoder.setTimeZone("UTC");
    // Serialized by Jackson, since the platform chooses the name and it may contain any character.
    encoder.setCustomFields(com.fasterxml.jackson.databind.node.JsonNodeFactory.instance.objectNode()
        .put("proxy", proxy).toString());
    encoder.start();
    OutputStreamAppender<ILoggingEvent> appender = new OutputStreamAppender<>();
    appender.setContext(context);
    appender.setEncoder(encoder);
    appender.setOutputStream(out);
    appender.start();
    logger = context.getLogger("lemondeal");
    logger.addAppender(appender);
  }

  private static LogstashFieldNames fieldNames() {
    LogstashFieldNames names = new LogstashFieldNames();
    names.setTimestamp("time");
    names.setVersion("[ignore]");
    names.setLogger("[ignore]");
    names.setThread("[ignore]");
    names.setLevelValue("[ignore]");
    names.setStackTrace("stack");
    return names;
  }

  @Override
  public void event(Level level, String name, String line, Object... fields) {
    Object[] arguments = new Object[1 + fields.length / 2];
    arguments[0] = keyValue("event", name);
    for (int i = 1; i < arguments.length; i++) {
      arguments[i] = keyValue((String) fields[2 * i - 2], fields[2 * i - 1]);
    }
    switch (level) {
      case INFO -> logger.info(line, arguments);
      case WARN -> logger.warn(line, arguments);
      default -> logger.error(line, arguments);
    }
  }

  @Override
  public void failure(String line, Throwable failure) {
    logger.error(line, keyValue("event", "failed-inside"), failure);
  }
}
