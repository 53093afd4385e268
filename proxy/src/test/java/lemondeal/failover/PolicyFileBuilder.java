package lemondeal.failover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** Builds policy files for tests; the parts can be changed, and are written in any order. */
final class PolicyFileBuilder {
  final Map<String, String> top = new TreeMap<>(Map.of("version", "1", "fleet", "f", "policy", "1"));
  final Map<String, String> regions = new TreeMap<>();
  final Map<String, String> zones = new TreeMap<>();
  final Map<String, String> survive = new TreeMap<>();

  /** @param extraKeys text after demand and capacity, such as {@code , served_by: [...]}, or empty */
  PolicyFileBuilder zone(String name, String region, Object demand, Object capacity, String extraKeys) {
    regions.putIfAbsent(region, "{}");
    zones.put(name, "{region: " + region + ", demand: " + demand + ", capacity: " + capacity + extraKeys + "}");
    return this;
  }

  PolicyFileBuilder set(Map<String, String> section, String key, Object value) {
    section.put(key, value.toString());
    return this;
  }

  String text(Random order) {
    List<String> parts = new ArrayList<>();
    top.forEach((key, value) -> parts.add(key + ": " + value + "\n"));
    parts.add("regions:\n" + lines(regions, order));
    parts.add("zones:\n" + lines(zones, order));
    parts.add(survive.isEmpty() ? "survive: {}\n" : "survive:\n" + lines(survive, order));
    Collections.shuffle(parts, order);
    return String.join("", parts);
  }

  private static String lines(Map<String, String> entries, Random order) {
    List<String> lines = new ArrayList<>();
    entries.forEach((key, value) -> lines.add("  " + key + ": " + value + "\n"));
    Collections.shuffle(lines, order);
    return String.join("", lines);
  }

  Path write(Path folder) throws IOException {
    return Files.writeString(folder.resolve("policy.yaml"), text(new Random(1)));
  }

  Plan compile(Path folder) throws IOException {
    return PolicyCompiler.compile(write(folder), Measurements.NONE);
  }
}
