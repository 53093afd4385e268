package lemondeal;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import lemondeal.config.Config;
import lemondeal.config.ConfigException;
import lemondeal.evacuation.Evacuation;
import lemondeal.evacuation.EvacuationSettings;
import lemondeal.evacuation.EvacuationState;
import lemondeal.evacuation.EvidenceSettings;
import lemondeal.evacuation.Named;
import lemondeal.evacuation.Opening;
import lemondeal.evacuation.ZoneStanding;
import lemondeal.evacuation.Zoned;
import lemondeal.fleet.FleetMember;
import lemondeal.fleet.FleetRoster;
import lemondeal.fleet.HeldRow;
import lemondeal.fleet.Sections;
import lemondeal.log.EventLog;
import lemondeal.net.Timers;
import lemondeal.operator.Operator;
import lemondeal.proxy.Proxy;
import lemondeal.saved.StateFile;

/** Joins leaving and returning to zones, which is pure, to the fleet's rows, the log, the disk and the proxy's timers. */
final class ZonesTogether implements Zoned.Side, AutoCloseable {
  private static final String SECTION = "evacuation";
  private static final long MICROS = 1_000;

  private final FleetMember member;
  private final List<String> zoneNames;
  private final EventLog log;
  private final StateFile file;
  private final Zoned zoned;
  private Proxy proxy;
  /** Decisions that are not on disk yet. */
  private int unwritten;

  /** @throws ConfigException where a proxy of the fleet stands in a zone that the platform does not name */
  ZonesTogether(Operator.Fleet section, Config config, FleetMember member, long incarnation, long now, Balancer module,
      EventLog log) {
    this.member = member;
    this.log = log;
    zoneNames = config.names().zones();
    Operator.Evacuation own = section.evacuation();
    file = new StateFile(own.kept(), log);
    Named named = named(section, member);
    EvacuationSettings settings = settings(section.settings().tellMillis());
    Evacuation evacuation = new Evacuation(named, settings, Opening.of(config.settings().rules(), own.connections()),
        incarnation, kept(), now);
    zoned = new Zoned(module, named, evacuation, own.moves(), settings.tell(), this, now);
  }

  private static EvacuationSettings settings(long tell) {
    EvacuationSettings usual = EvacuationSettings.DEFAULT;
    long voteLife = Math.max(usual.voteLife(), 5 * tell);
    long shareLife = Math.max(usual.shareLife(), 5 * tell);
    return new EvacuationSettings(EvidenceSettings.DEFAULT, tell, voteLife, shareLife,
        Math.max(usual.leaveDwell(), 2 * shareLife), Math.max(usual.returnDwell(), 2 * shareLife), usual.blindTimes(),
        usual.calm(), usual.askFor(), usual.drift());
  }

  private Named named(Operator.Fleet section, FleetMember member) {
    List<Named.Proxy> proxies = new ArrayList<>();
    for (FleetRoster.Named one : section.settings().roster().members()) {
      int zone = zoneNames.indexOf(one.zone());
      if (zone < 0) {
        throw new ConfigException(section.fault("fleet.members: " + one.name() + ": found zone '" + one.zone()
            + "'; allowed: " + String.join(", ", zoneNames)).toString());
      }
      proxies.add(new Named.Proxy(one.name(), zone));
    }
    return Named.of(proxies, member.name());
  }

  /** A first start knows that nothing was ever left; one whose file is damaged knows nothing and has to ask. */
  private Optional<EvacuationState> kept() {
    Optional<byte[]> bytes = file.read();
    if (bytes.isEmpty()) {
      return Optional.of(EvacuationState.NONE);
    }
    Optional<EvacuationState> state = EvacuationState.decode(bytes.get());
    if (state.isEmpty()) {
      log.warn("zones-kept", "lemondeal: what was kept of the zones is not whole and is passed over");
    }
    return state;
  }

  Balancer module() {
    return zoned;
  }

  /** Begins to look around, on the proxy's own thread. */
  void begin(Proxy running) {
    running.executor().execute(() -> {
      // Before this no row was told.
      unwritten = 0;
      proxy = running;
      member.onChange(this::heard);
      look(running.timers());
    });
  }

  private void look(Timers timers) {
    proxy.wake(Zoned.LOOK);
    timers.after(Zoned.EVERY * MICROS, () -> look(timers));
  }

  private void heard() {
    for (HeldRow held : member.rows(member.now())) {
      if (!held.row().owner().equals(member.name())) {
        byte[] content = Sections.of(held.row().content()).get(SECTION);
        if (content != null) {
          zoned.hear(held.row().owner(), content);
        }
      }
    }
  }

  /** A row waits until what it tells is on disk: after a crash this proxy must remember what others heard of it. */
  @Override
  public void row(byte[] content) {
    if (proxy != null && unwritten == 0) {
      member.publish(SECTION, content);
    }
  }

  @Override
  public void decided(Evacuation.Decided decided, EvacuationState state) {
    String zone = name(decided.zone());
    log.warn(decided.leaves() ? "zone-left" : "zone-returned", "lemondeal: the fleet " + (decided.leaves() ? "leaves"
        : "returns to") + " zone " + zone + ", epoch " + decided.epoch(), "zone", zone, "epoch", decided.epoch(),
        "counted_here", decided.here());
    Proxy running = proxy;
    unwritten++;
    file.write(state.encode(), running == null ? () -> { } : () -> running.executor().execute(() -> unwritten--));
  }

  private String name(int zone) {
    return zone < zoneNames.size() ? zoneNames.get(zone) : Integer.toString(zone);
  }

  @Override
  public void stands(ZoneStanding standing) {
    String state = standing.state().name().toLowerCase(Locale.ROOT);
    log.info("zone-standing", "lemondeal: zone " + name(standing.zone()) + " is " + state + " here, "
        + Math.round(100 * standing.open()) + " % of the keys, epoch " + standing.epoch(), "zone", name(standing.zone()),
        "state", state, "epoch", standing.epoch());
  }

  @Override
  public int inSight() {
    return Math.max(1, member.inSight().size());
  }

  /** How far each zone is open here, in hundredths. */
  void addTo(Map<String, Long> figures) {
    zoned.shares().forEach((zone, share) -> figures.put("zone_open_" + name(zone), Math.round(100 * share)));
  }

  @Override
  public void close() {
    file.close();
  }
}
