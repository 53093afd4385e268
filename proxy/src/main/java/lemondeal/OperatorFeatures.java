package lemondeal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import lemondeal.claims.CasClaimService;
import lemondeal.claims.CasStore;
import lemondeal.claims.DiskStore;
import lemondeal.claims.FleetStore;
import lemondeal.claims.MemoryStore;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.config.Limits;
import lemondeal.config.TlsFiles;
import lemondeal.consul.ConsulServices;
import lemondeal.consul.ConsulSettings;
import lemondeal.discovery.ListSource;
import lemondeal.fleet.FleetMember;
import lemondeal.fleet.FleetSettings;
import lemondeal.fleet.link.JGroupsTransport;
import lemondeal.log.EventLog;
import lemondeal.log.JsonLog;
import lemondeal.log.PlainLog;
import lemondeal.module.DecisionModule;
import lemondeal.operator.InvalidFileException;
import lemondeal.operator.KeyFile;
import lemondeal.operator.OperatorConfig;
import lemondeal.proxy.Proxy;
import lemondeal.resume.ResumptionContext;

/** The optional features that the operator's file enables in a proxy. None of them is loaded without such a file. */
final class OperatorFeatures implements AutoCloseable {
  private final Path file;
  private final OperatorConfig operator;
  private EventLog log;
  private ResumptionContext resumption;
  /** Null unless claims are kept in a fleet's store. */
  private FleetStore claimStore;
  /** Null unless the proxies of a fleet exchange rows. */
  private FleetMember fleetMember;
  /** Null unless the fleet evacuates zones by a common decision. */
  private ZoneEvacuationService evacuation;
  private long incarnation;
  /** Null unless Consul is the source of server lists, and until the proxy has created it. */
  private ConsulServices consul;

  private OperatorFeatures(Path file, OperatorConfig operator) {
    this.file = file;
    this.operator = operator;
  }

  /** Reads the file; throws with all errors if it cannot be used. */
  static OperatorFeatures read(Path file) {
    try {
      OperatorConfig operator = OperatorConfig.read(file);
      if (operator.ringBufferMegabytes() > 0) {
        DirectMemory.check(file, operator.ringBufferMegabytes());
      }
      return new OperatorFeatures(file, operator);
    } catch (InvalidFileException e) {
      throw new ConfigException(e.getMessage());
    }
  }

  /** Maximum size of all ring buffers, in megabytes. */
  int ringsMb() {
    return operator.ringBufferMegabytes() > 0 ? operator.ringBufferMegabytes() : Limits.DEFAULT_RINGS_MB;
  }

  /** Creates what the proxy needs: the log, the claims and keys of resumable sessions, and the fleet member. */
  void begin(Config config) {
    log = operator.jsonLog() ? new JsonLog(System.err, config.name()) : new PlainLog(System.err);
    resumption = operator.resume() == null ? null : resumption(file, operator.resume(), config, log);
    fleetMember = operator.fleet() == null ? null : fleetMember(operator.fleet(), config, log);
  }

  private FleetMember fleetMember(OperatorConfig.Fleet section, Config config, EventLog log) {
    FleetSettings settings = section.settings();
    String name = settings.name() != null ? settings.name() : config.name();
    if (!config.settings().limits().mayMessagePeers()) {
      throw new ConfigException(section.fault("fleet: the platform's settings do not allow messages between proxies"
          + " (permissions.mayTell is not true); allowed: no section fleet").toString());
    }
    if (!settings.roster().contains(name)) {
      throw new ConfigException(section.fault("fleet.members: this proxy, '" + name + "', is not among them; allowed:"
          + " its name there, or fleet.name").toString());
    }
    // Greater than before a restart, unless this machine's clock is set back; see docs/FLEET-DESIGN.md.
    incarnation = System.currentTimeMillis();
    return new FleetMember(settings, name, incarnation, new JGroupsTransport(settings, name, incarnation, log), log);
  }

  /** Starts what needs the running proxy; throws if it cannot listen on an address. */
  void begin(Proxy proxy) {
    if (fleetMember != null) {
      try {
        fleetMember.start(proxy.executor(), proxy.timers());
      } catch (IOException e) {
        throw new ConfigException(operator.fleet().fault(e.getMessage()).toString());
      }
      proxy.addMetrics(this::addTo);
    }
    if (evacuation != null) {
      evacuation.start(proxy);
    }
  }

  private void addTo(Map<String, Long> metrics) {
    fleetMember.addTo(metrics);
    if (evacuation != null) {
      evacuation.addTo(metrics);
    }
  }

  private ResumptionContext resumption(Path file, OperatorConfig.Resume section, Config config, EventLog log) {
    List<String> classes = config.names().classes();
    for (String name : section.settings().classes()) {
      if (!classes.contains(name)) {
        throw new ConfigException(file + ": resume.classes: found '" + name + "'; allowed: "
            + String.join(", ", classes));
      }
    }
    return new ResumptionContext(section.settings(), KeyFile.read(section.keyFile()),
        new CasClaimService(openClaimStore(section, log), System::currentTimeMillis), config.name(),
        System::currentTimeMillis);
  }

  private CasStore openClaimStore(OperatorConfig.Resume section, EventLog log) {
    try {
      return switch (section.claimStorage()) {
        case MEMORY -> new MemoryStore(section.maxClaims(), System::currentTimeMillis);
        case DISK -> DiskStore.open(section.claimsFolder(), section.maxClaims(), System::currentTimeMillis, log);
        case FLEET -> claimStore = FleetStore.open(section.storeAddresses(), section.tls(), section.settings().claimTimeoutMillis(), log);
      };
    } catch (IOException e) {
      throw new ConfigException("claims in " + (section.claimStorage() == OperatorConfig.ClaimStorage.DISK ? section.claimsFolder()
          : "the fleet's store") + ": " + e.getMessage());
    }
  }

  EventLog log() {
    return log;
  }

  /** Null if sessions cannot resume. */
  ResumptionContext resumption() {
    return resumption;
  }

  /** The source of server lists: Consul if the file configures it, otherwise the platform's discovery. */
  ListSource.Factory listSources() {
    return operator.consulServices().isEmpty() ? ListSource.PLATFORM
        : ConsulServices.factory(consulSettings(operator), log, created -> consul = created);
  }

  private static List<ConsulSettings> consulSettings(OperatorConfig operator) {
    return operator.consulServices().stream().map(OperatorConfig.ConsulService::settings).toList();
  }

  /** The decision module, restricted by the fleet's zone evacuation where that is enabled. */
  Balancer module(Config config) {
    Balancer placement = placementModule(config);
    if (operator.fleet() == null || operator.fleet().evacuation() == null) {
      return placement;
    }
    evacuation = new ZoneEvacuationService(operator.fleet(), config, fleetMember, incarnation,
        System.currentTimeMillis(), placement, log);
    return evacuation.module();
  }

  /** One module for all classes, or one for each Consul service and its classes. */
  private Balancer placementModule(Config config) {
    if (operator.consulServices().isEmpty() || operator.consulServices().get(0).classes().isEmpty()) {
      return new DecisionModule();
    }
    List<String> names = config.names().classes();
    int[] serviceOfClass = new int[names.size()];
    Arrays.fill(serviceOfClass, -1);
    List<Balancer> modules = new ArrayList<>();
    for (OperatorConfig.ConsulService service : operator.consulServices()) {
      for (String name : service.classes()) {
        if (!names.contains(name)) {
          throw new ConfigException(file + ": discovery.consul.services: found class '" + name + "'; allowed: "
              + String.join(", ", names));
        }
        serviceOfClass[names.indexOf(name)] = modules.size();
      }
      modules.add(new DecisionModule());
    }
    for (int i = 0; i < serviceOfClass.length; i++) {
      if (serviceOfClass[i] < 0) {
        throw new ConfigException(file + ": discovery.consul.services: class '" + names.get(i)
            + "' has no service; allowed: each class in one service");
      }
    }
    return new PoolRouter(modules, serviceOfClass);
  }

  /**
   * Reloads the keys, the certificates for the fleet's store, and Consul's section. Throws if any of them cannot be
   * used; the previous ones then stay in use.
   */
  void reload() {
    OperatorConfig reloaded = OperatorConfig.read(file);
    if (consul != null && !reloaded.consulServices().isEmpty()) {
      try {
        consul.reload(consulSettings(reloaded));
        log.info("consul-reload", "lemondeal: Consul's section, its token and certificates read anew");
      } catch (IOException e) {
        throw new ConfigException(file + ": discovery.consul: " + e.getMessage()
            + "; the previous settings stay in use");
      }
    }
    if (resumption == null) {
      return;
    }
    resumption.replaceKeys(KeyFile.read(operator.resume().keyFile()));
    TlsFiles tls = operator.resume().tls();
    if (claimStore != null && tls != null) {
      try {
        claimStore.reload(tls);
      } catch (IOException e) {
        throw new ConfigException(file + ": resume.claims.tls: " + e.getMessage()
            + "; the previous certificates stay in use");
      }
    }
    log.info("keys-reload", "lemondeal: keys" + (tls == null ? "" : " and certificates") + " read anew"
        + (hasSameStartupSettings(reloaded) ? "" : "; other changes of " + file + " take effect at the next start"));
  }

  /** Whether everything that takes effect only at a start is unchanged. */
  private boolean hasSameStartupSettings(OperatorConfig reloaded) {
    return new OperatorConfig(reloaded.jsonLog(), reloaded.ringBufferMegabytes(), operator.consulServices(), reloaded.resume(),
        hasSameFleetSettings(reloaded) ? operator.fleet() : reloaded.fleet()).equals(operator);
  }

  private boolean hasSameFleetSettings(OperatorConfig reloaded) {
    return reloaded.fleet() != null && operator.fleet() != null
        && reloaded.fleet().settings().equals(operator.fleet().settings())
        && Objects.equals(reloaded.fleet().evacuation(), operator.fleet().evacuation());
  }

  @Override
  public void close() {
    if (fleetMember != null) {
      fleetMember.close();
    }
    if (evacuation != null) {
      evacuation.close();
    }
    if (consul != null) {
      consul.close();
    }
    if (resumption != null) {
      resumption.close();
    }
  }
}
