package lemondeal;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.evacuation.EvacuatingBalancer;
import lemondeal.evacuation.Evacuation;
import lemondeal.evacuation.EvacuationSettings;
import lemondeal.evacuation.EvacuationState;
import lemondeal.evacuation.EvidenceSettings;
import lemondeal.evacuation.SlowStartRamp;
import lemondeal.evacuation.ZoneAccess;
import lemondeal.evacuation.ZoneMembership;
import lemondeal.fleet.FleetMember;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.Sections;
import lemondeal.fleet.TimedRow;
import lemondeal.log.EventLog;
import lemondeal.net.Timers;
import lemondeal.operator.OperatorConfig;
import lemondeal.proxy.Proxy;
import lemondeal.saved.StateFile;

/** Connects zone evacuation, which does no I/O, to the fleet's rows, the log, the state file and the proxy's timers. */
final class ZoneEvacuationService implements EvacuatingBalancer.Callbacks, AutoCloseable {
  private static final String SECTION = "evacuation";
  private static final long MICROS_PER_MILLI = 1_000;

  private final FleetMember member;
  private final List<String> zoneNames;
  private final EventLog log;
  private final StateFile stateFile;
  private final EvacuatingBalancer balancer;
  private Proxy proxy;
  /** Number of decisions that are not on disk yet. */
  private int pendingWrites;

  /** @throws ConfigException if a proxy of the fleet is in a zone that the platform's configuration does not name */
  ZoneEvacuationService(OperatorConfig.Fleet section, Config config, FleetMember member, long incarnation, long now,
      Balancer module, EventLog log) {
    this.member = member;
    this.log = log;
    zoneNames = config.names().zones();
    OperatorConfig.Evacuation ownSection = section.evacuation();
    stateFile = new StateFile(ownSection.stateFile(), log);
    ZoneMembership membership = membership(section, member);
    EvacuationSettings settings = settings(section.settings().sendIntervalMillis());
    Evacuation evacuation = new Evacuation(membership, settings,
        SlowStartRamp.of(config.settings().rules(), ownSection.usualConnections()), incarnation, savedState(), now);
    balancer = new EvacuatingBalancer(module, membership, evacuation, ownSection.movesPerSecond(), settings.reportInterval(),
        this, now);
  }

  private static EvacuationSettings settings(long reportInterval) {
    EvacuationSettings defaults = EvacuationSettings.DEFAULT;
    long voteTtl = Math.max(defaults.voteTtl(), 5 * reportInterval);
    long leaseTtl = Math.max(defaults.leaseTtl(), 5 * reportInterval);
    return new EvacuationSettings(EvidenceSettings.DEFAULT, reportInterval, voteTtl, leaseTtl,
        Math.max(defaults.evacuateDwell(), 2 * leaseTtl), Math.max(defaults.returnDwell(), 2 * leaseTtl),
        defaults.unobservedDwells(), defaults.relapseWindow(), defaults.startupQueryTimeout(),
        defaults.maxClockDrift());
  }

  private ZoneMembership membership(OperatorConfig.Fleet section, FleetMember member) {
    List<ZoneMembership.Member> members = new ArrayList<>();
    for (FleetRoster.Member configured : section.settings().roster().members()) {
      int zone = zoneNames.indexOf(configured.zone());
      if (zone < 0) {
        throw new ConfigException(section.fault("fleet.members: " + configured.name() + ": found zone '"
            + configured.zone() + "'; allowed: " + String.join(", ", zoneNames)).toString());
      }
      members.add(new ZoneMembership.Member(configured.name(), zone));
    }
    return ZoneMembership.of(members, member.name());
  }

  /**
   * On a very first start no zone was ever evacuated. With a damaged file nothing is known, and the peers must be
   * queried.
   */
  private Optional<EvacuationState> savedState() {
    Optional<byte[]> bytes = stateFile.read();
    if (bytes.isEmpty()) {
      return Optional.of(EvacuationState.NONE);
    }
    Optional<EvacuationState> state = EvacuationState.decode(bytes.get());
    if (state.isEmpty()) {
      log.warn("zones-kept", "lemondeal: the saved state of the zones is damaged and is ignored");
    }
    return state;
  }

  Balancer module() {
    return balancer;
  }

  /** Starts the periodic checks on the proxy's I/O thread. */
  void start(Proxy startedProxy) {
    startedProxy.executor().execute(() -> {
      // Before this no report was published.
      pendingWrites = 0;
      proxy = startedProxy;
      member.onChange(this::receiveReports);
      scheduleCheck(startedProxy.timers());
    });
  }

  private void scheduleCheck(Timers timers) {
    proxy.wake(EvacuatingBalancer.CHECK_TOKEN);
    timers.after(EvacuatingBalancer.CHECK_INTERVAL_MILLIS * MICROS_PER_MILLI, () -> scheduleCheck(timers));
  }

  private void receiveReports() {
    for (TimedRow row : member.liveRows(member.now())) {
      if (!row.row().owner().equals(member.name())) {
        byte[] content = Sections.decode(row.row().content()).get(SECTION);
        if (content != null) {
          balancer.receiveReport(row.row().owner(), content);
        }
      }
    }
  }

  /**
   * Publishes a report only when the decisions in it are on disk: after a crash this proxy must still know what it has
   * reported.
   */
  @Override
  public void publishReport(byte[] content) {
    if (proxy != null && pendingWrites == 0) {
      member.publish(SECTION, content);
    }
  }

  @Override
  public void onDecision(Evacuation.Decision decision, EvacuationState state) {
    String zone = zoneName(decision.zone());
    log.warn(decision.evacuates() ? "zone-left" : "zone-returned", "lemondeal: the fleet "
        + (decision.evacuates() ? "evacuates" : "returns to") + " zone " + zone + ", epoch " + decision.epoch(), "zone",
        zone, "epoch", decision.epoch(), "counted_here", decision.countedHere());
    Proxy startedProxy = proxy;
    pendingWrites++;
    stateFile.write(state.encode(),
        startedProxy == null ? () -> { } : () -> startedProxy.executor().execute(() -> pendingWrites--));
  }

  private String zoneName(int zone) {
    return zone < zoneNames.size() ? zoneNames.get(zone) : Integer.toString(zone);
  }

  @Override
  public void onAccessChange(ZoneAccess access) {
    String state = access.state().name().toLowerCase(Locale.ROOT);
    log.info("zone-standing", "lemondeal: zone " + zoneName(access.zone()) + " is " + state + " at this proxy, "
        + Math.round(100 * access.openShare()) + " % of the keys, epoch " + access.epoch(), "zone",
        zoneName(access.zone()), "state", state, "epoch", access.epoch());
  }

  @Override
  public int liveMembers() {
    return Math.max(1, member.liveMembers().size());
  }

  /** Adds the share to which each zone is open at this proxy, in percent. */
  void addTo(Map<String, Long> figures) {
    balancer.openShares().forEach((zone, share) -> figures.put("zone_open_" + zoneName(zone), Math.round(100 * share)));
  }

  @Override
  public void close() {
    stateFile.close();
  }
}
