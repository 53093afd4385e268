package lemondeal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import lemondeal.claims.CasClaims;
import lemondeal.claims.CasStore;
import lemondeal.claims.DiskStore;
import lemondeal.claims.FleetStore;
import lemondeal.claims.MemoryStore;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.log.JsonLog;
import lemondeal.log.EventLog;
import lemondeal.log.PlainLog;
import lemondeal.operator.FileFaults;
import lemondeal.operator.KeyFile;
import lemondeal.operator.Operator;
import lemondeal.resume.Resumption;

/** What the operator's own file adds to a proxy. Nothing of this is loaded where there is no such file. */
final class Extras implements AutoCloseable {
  private final Path file;
  private final Operator operator;
  private final EventLog log;
  private final Resumption resumption;

  private Extras(Path file, Operator operator, EventLog log, Resumption resumption) {
    this.file = file;
    this.operator = operator;
    this.log = log;
    this.resumption = resumption;
  }

  /** Reads the file; what can't be used throws, with all faults. */
  static Extras read(Path file, Config config) {
    try {
      Operator operator = Operator.read(file);
      EventLog log = operator.jsonLog() ? new JsonLog(System.err, config.name()) : new PlainLog(System.err);
      return new Extras(file, operator, log, operator.resume() == null ? null
          : resumption(file, operator.resume(), config, log));
    } catch (FileFaults e) {
      throw new ConfigException(e.getMessage());
    }
  }

  private static Resumption resumption(Path file, Operator.Resume section, Config config, EventLog log) {
    List<String> classes = config.names().classes();
    for (String name : section.settings().classes()) {
      if (!classes.contains(name)) {
        throw new ConfigException(file + ": resume.classes: found '" + name + "'; allowed: " + String.join(", ", classes));
      }
    }
    return new Resumption(section.settings(), KeyFile.read(section.keys()),
        new CasClaims(store(section, log), System::currentTimeMillis), config.name(), System::currentTimeMillis);
  }

  private static CasStore store(Operator.Resume section, EventLog log) {
    try {
      return switch (section.claims()) {
        case MEMORY -> new MemoryStore(section.mostClaims(), System::currentTimeMillis);
        case DISK -> DiskStore.open(section.folder(), section.mostClaims(), System::currentTimeMillis, log);
        case FLEET -> FleetStore.open(section.store(), section.settings().patience(), log);
      };
    } catch (IOException e) {
      throw new ConfigException("claims in " + section.folder() + ": " + e.getMessage());
    }
  }

  EventLog log() {
    return log;
  }

  /** Null where no client can resume. */
  Resumption resumption() {
    return resumption;
  }

  /** Takes the keys over as they are now; throws what is wrong with them, and the old ones stay. */
  void reload() {
    if (resumption == null) {
      return;
    }
    resumption.use(KeyFile.read(operator.resume().keys()));
    log.info("keys-reload", "lemondeal: keys read anew" + (operator.equals(Operator.read(file)) ? ""
        : "; other changes of " + file + " count from the next start"));
  }

  @Override
  public void close() {
    if (resumption != null) {
      resumption.close();
    }
  }
}
