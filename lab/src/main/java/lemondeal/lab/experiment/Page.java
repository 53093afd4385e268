package lemondeal.lab.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** A report's Markdown as one HTML page with its charts inside: what the reports use of Markdown, and no more. */
final class Page {
  private static final String STYLE = "body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
      + "table{border-collapse:collapse;font-size:90%}td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}"
      + "td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

  private final String title;

  Page(String title) {
    this.title = title;
  }

  String of(String markdown, Path folder) throws IOException {
    StringBuilder html = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(escaped(title)).append("</title><style>").append(STYLE).append("</style></head><body>\n");
    boolean table = false;
    boolean list = false;
    for (String line : markdown.split("\n")) {
      boolean row = line.startsWith("|");
      boolean item = line.startsWith("- ");
      html.append(table && !row ? "</table>\n" : "").append(list && !item ? "</ul>\n" : "");
      html.append(item && !list ? "<ul>\n" : "");
      if (row) {
        html.append(table ? "" : "<table>\n").append(line.startsWith("| ---") ? "" : cells(line, table ? "td" : "th"));
      } else if (item) {
        html.append("<li>").append(escaped(line.substring(2))).append("</li>\n");
      } else if (line.startsWith("![")) {
        String file = line.substring(line.indexOf('(') + 1, line.indexOf(')'));
        html.append(Files.readString(folder.resolve(file)).replaceFirst("<\\?xml[^>]*>", "").replaceFirst("<!DOCTYPE[^>]*>", ""))
            .append('\n');
      } else if (line.startsWith("#")) {
        int level = line.indexOf(' ');
        html.append("<h").append(level).append('>').append(escaped(line.substring(level + 1))).append("</h").append(level)
            .append(">\n");
      } else if (!line.isBlank()) {
        html.append("<p>").append(escaped(line)).append("</p>\n");
      }
      table = row;
      list = item;
    }
    return html.append(table ? "</table>" : "").append(list ? "</ul>" : "").append("</body></html>\n").toString();
  }

  private static String cells(String line, String tag) {
    StringBuilder row = new StringBuilder("<tr>");
    for (String cell : line.substring(1, line.lastIndexOf('|')).split("\\|")) {
      row.append('<').append(tag).append('>').append(escaped(cell.trim())).append("</").append(tag).append('>');
    }
    return row.append("</tr>\n").toString();
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
