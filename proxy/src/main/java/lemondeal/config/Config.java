package lemondeal.config;

import lemondeal.Balancer.Settings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.zip.CRC32C;
import lemondeal.codec.Json;
import lemondeal.codec.ProtocolException;

/**
 * The configuration of a proxy, from the environment and the file that it names.
 *
 * @param inheritedSocket whether the listening socket for clients is inherited as descriptor 0
 * @param temporaryFolder where this process shares files with others on the same listening socket: {@code TMPDIR}, or
 *     the JVM's default
 * @param admin the admin endpoint's address, or null where there is none
 * @param discoveryInFile discovery's address in the file itself: a change there takes effect at a reload
 * @param knownServers the server list in discovery's format, as this proxy last had it
 * @param loadLineMeaning what a server's LOAD line carries, according to the reports that the settings announce
 * @param machineLimits what this process may use, as read at its start
 * @param machineLimitsInFile the same as currently in the file
 */
public record Config(String name, InetSocketAddress listen, boolean inheritedSocket, Path temporaryFolder,
    InetSocketAddress admin, InetSocketAddress discovery, String discoveryInFile, long seed,
    Map<String, Object> knownServers, Settings settings, Names names, LoadLineMeaning loadLineMeaning,
    MachineLimits machineLimits, MachineLimits machineLimitsInFile, Limits limits) {

  /** Names used on the wire, for which the decision module uses indices. */
  public record Names(List<String> classes, List<String> zones, List<String> models) {}

  /** The machine's limits. Sockets and ring buffers are sized for them at the start, so they cannot change later. */
  public record MachineLimits(int sockets, int memoryMb) {}

  /**
   * The meaning of the number in a LOAD line: the connection's load in microseconds of work per second, or the
   * milliseconds that a message takes at its server. Where servers report both, only the value itself tells them apart.
   */
  public enum LoadLineMeaning {
    LOADS, DELAYS, BOTH;

    static LoadLineMeaning of(boolean delays, boolean loads) {
      return !delays ? LOADS : loads ? BOTH : DELAYS;
    }
  }

  private static final int DEFAULT_SOCKETS = 1024;
  private static final int DEFAULT_MEMORY_MB = 192;

  /** Reads the file {@code GW_CONFIG}; {@code GW_NAME} and addresses in the environment take precedence over it. */
  public static Config read(Map<String, String> environment) {
    return read(environment, null, Limits.DEFAULT_RINGS_MB);
  }

  /** The same, where the operator's file limits ring buffers to {@code ringsMb} megabytes. */
  public static Config read(Map<String, String> environment, int ringsMb) {
    return read(environment, null, ringsMb);
  }

  /** Reads the file again in a running proxy. Throws if it cannot be used; this configuration then stays in use. */
  public Config reread(Map<String, String> environment) {
    return read(environment, this, limits.maxRingsMb());
  }

  /** A 64-bit fingerprint of the known servers, for comparison without keeping the list itself. */
  public long knownServersFingerprint() {
    CRC32C checksum = new CRC32C();
    checksum.update(knownServers.toString().getBytes(StandardCharsets.UTF_8));
    return (long) knownServers.hashCode() << Integer.SIZE | checksum.getValue();
  }

  /** The same without the known servers, which take much memory and are not needed once they are applied. */
  public Config withoutKnownServers() {
    return new Config(name, listen, inheritedSocket, temporaryFolder, admin, discovery, discoveryInFile, seed, Map.of(),
        settings, names, loadLineMeaning, machineLimits, machineLimitsInFile, limits);
  }

  /** Whether both serve requests in the same way: compares everything that may change while a proxy runs. */
  public boolean hasSameServiceSettings(Config other) {
    return settings.equals(other.settings) && names.equals(other.names) && loadLineMeaning == other.loadLineMeaning
        && limits.equals(other.limits);
  }

  /** The names of values that differ in a reloaded file but need a restart to take effect. */
  public List<String> restartOnlyChanges(Config reloaded) {
    List<String> changes = new ArrayList<>();
    addIfChanged(changes, "name", name, reloaded.name);
    addIfChanged(changes, "listen", listen, reloaded.listen);
    addIfChanged(changes, "admin_addr", admin, reloaded.admin);
    addIfChanged(changes, "seed", seed, reloaded.seed);
    addIfChanged(changes, "limits", machineLimits, reloaded.machineLimitsInFile);
    return changes;
  }

  private static void addIfChanged(List<String> changes, String key, Object current, Object reloaded) {
    if (!Objects.equals(current, reloaded)) {
      changes.add(key);
    }
  }

  private static Config read(Map<String, String> environment, Config previous, int ringsMb) {
    String file = environment.get("GW_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new ConfigException("GW_CONFIG does not name a file");
    }
    try {
      return of(new Section("config", readObject(file)), environment, previous, ringsMb);
    } catch (ConfigException e) {
      throw new ConfigException(file + ": " + e.getMessage().replace('\n', ' '));
    }
  }

  private static Config of(Section root, Map<String, String> environment, Config previous, int ringsMb) {
    Section settings = root.section("settings");
    SettingsCheck.check(settings);
    Section permissions = settings.section("permissions");
    Section family = settings.section("familyInfo");
    String discoveryInFile = root.string("discovery", "");
    boolean inheritedSocket = inheritedSocket(environment.getOrDefault("GW_ACCEPT_FD", ""));
    // Timeouts that the settings leave out default to the longest request deadline.
    long longestRequest = longestDeadline(settings.sections("profiles"));
    MachineLimits machineInFile = machineLimits(root.section("limits"));
    MachineLimits machine = previous == null ? machineInFile : previous.machineLimits;
    return new Config(
        environment.getOrDefault("GW_NAME", root.string("name", "proxy")),
        address("listen", environment.getOrDefault("GW_LISTEN", root.string("listen", ""))),
        inheritedSocket, temporaryFolder(environment.getOrDefault("TMPDIR", "")),
        admin(environment.getOrDefault("GW_ADMIN_ADDR", root.string("admin_addr", ""))),
        discovery(environment, discoveryInFile, previous), discoveryInFile,
        seed(root.string("seed", "0")), root.section("known").values(), SettingsReader.read(settings.values()),
        new Names(names(settings.sections("profiles")), strings(settings.list("azs")),
            strings(settings.list("flavors"))),
        LoadLineMeaning.of(family.flag("tellsDelay"), family.flag("tellsLoad")), machine, machineInFile,
        Limits.of(machine.sockets, machine.memoryMb, permissions.wholeNumber("dialTimeout", longestRequest),
            permissions.wholeNumber("keepalive", longestRequest), longestRequest, inheritedSocket, ringsMb));
  }

  private static MachineLimits machineLimits(Section section) {
    SettingsCheck.checkMachine(section);
    return new MachineLimits((int) section.wholeNumber("sockets", DEFAULT_SOCKETS),
        (int) section.wholeNumber("memory_mb", DEFAULT_MEMORY_MB));
  }

  /**
   * At a reload, an address that changed in the file takes precedence over the environment, which cannot change while
   * the proxy runs and would otherwise hide the new address.
   */
  private static InetSocketAddress discovery(Map<String, String> environment, String inFile, Config previous) {
    if (previous == null) {
      return address("discovery", environment.getOrDefault("GW_DISCOVERY", inFile));
    }
    return inFile.equals(previous.discoveryInFile) ? previous.discovery : address("discovery", inFile);
  }

  /** The JDK can inherit a listening socket only as descriptor 0. */
  private static boolean inheritedSocket(String descriptor) {
    if (!descriptor.isEmpty() && !descriptor.equals("0")) {
      throw new ConfigException("GW_ACCEPT_FD should be 0, found " + descriptor);
    }
    return !descriptor.isEmpty();
  }

  private static Path temporaryFolder(String text) {
    return Path.of(text.isEmpty() ? System.getProperty("java.io.tmpdir") : text);
  }

  private static InetSocketAddress admin(String text) {
    return text.isEmpty() ? null : address("admin_addr", text);
  }

  private static Map<String, Object> readObject(String file) {
    try {
      return Json.parseObject(Files.readString(Path.of(file)));
    } catch (IOException e) {
      throw new ConfigException("cannot be read: " + e);
    } catch (ProtocolException e) {
      throw new ConfigException(e.getMessage());
    }
  }

  private static long seed(String digits) {
    try {
      return Long.parseUnsignedLong(digits, 16);
    } catch (NumberFormatException e) {
      throw new ConfigException("seed should be up to 16 hex digits, found " + digits);
    }
  }

  private static InetSocketAddress address(String key, String text) {
    try {
      return Addresses.parse(text);
    } catch (IllegalArgumentException e) {
      throw new ConfigException(key + ": " + e.getMessage());
    }
  }

  private static long longestDeadline(List<Section> classes) {
    long longest = 0;
    for (Section section : classes) {
      longest = Math.max(longest, section.wholeNumber("hardLimit"));
    }
    return longest;
  }

  private static List<String> names(List<Section> sections) {
    List<String> names = new ArrayList<>();
    for (Section section : sections) {
      names.add(section.string("name", ""));
    }
    return names;
  }

  private static List<String> strings(List<Object> values) {
    List<String> strings = new ArrayList<>();
    for (Object value : values) {
      strings.add(String.valueOf(value));
    }
    return strings;
  }
}
