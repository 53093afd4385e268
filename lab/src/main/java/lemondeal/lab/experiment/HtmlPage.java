package lemondeal.lab.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Renders a report's Markdown as one HTML page with embedded charts. Supports only the Markdown that reports use. */
final class HtmlPage {
  private static final String STYLE = "body{font-family:sans-serif;max-width:60em;margin:2em auto;padding:0 1em}"
      + "table{border-collapse:collapse;font-size:90%}td,th{border:1px solid #ccc;padding:.25em .6em;text-align:right}"
      + "td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

  private final String title;

  HtmlPage(String title) {
    this.title = title;
  }

  String render(String markdown, Path folder) throws IOException {
    StringBuilder html = new StringBuilder("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(escape(title)).append("</title><style>").append(STYLE).append("</style></head><body>\n");
    boolean inTable = false;
    boolean inList = false;
    for (String line : markdown.split("\n")) {
      boolean row = line.startsWith("|");
      boolean item = line.startsWith("- ");
      html.append(inTable && !row ? "</table>\n" : "").append(inList && !item ? "</ul>\n" : "");
      html.append(item && !inList ? "<ul>\n" : "");
      if (row) {
        html.append(inTable ? "" : "<table>\n")
            .append(line.startsWith("| ---") ? "" : tableRow(line, inTable ? "td" : "th"));
      } else if (item) {
        html.append("<li>").append(escape(line.substring(2))).append("</li>\n");
      } else if (line.startsWith("![")) {
        String file = line.substring(line.indexOf('(') + 1, line.indexOf(')'));
        html.append(Files.readString(folder.resolve(file)).replaceFirst("<\\?xml[^>]*>", "")
            .replaceFirst("<!DOCTYPE[^>]*>", "")).append('\n');
      } else if (line.startsWith("#")) {
        int level = line.indexOf(' ');
        html.append("<h").append(level).append('>').append(escape(line.substring(level + 1))).append("</h")
            .append(level).append(">\n");
      } else if (!line.isBlank()) {
        html.append("<p>").append(escape(line)).append("</p>\n");
      }
      inTable = row;
      inList = item;
    }
    return html.append(inTable ? "</table>" : "").append(inList ? "</ul>" : "").append("</body></html>\n").toString();
  }

  private static String tableRow(String line, String tag) {
    StringBuilder row = new StringBuilder("<tr>");
    for (String cell : line.substring(1, line.lastIndexOf('|')).split("\\|")) {
      row.append('<').append(tag).append('>').append(escape(cell.trim())).append("</").append(tag).append('>');
    }
    return row.append("</tr>\n").toString();
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
