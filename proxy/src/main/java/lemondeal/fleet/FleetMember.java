package lemondeal.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import lemondeal.log.EventLog;
import lemondeal.net.Timers;

/**
 * This proxy's place in its fleet: tells its own row, holds the others', and knows who is in sight. Whoever decides by
 * what the fleet shares publishes sections of the row here and reads the rows. All of it on the I/O thread, but for
 * {@link #start}, {@link #close} and what {@link FleetLink} does on its own.
 */
public final class FleetMember implements AutoCloseable {
  private static final long MICROS = 1_000;
  /** An owner's last row is kept so many lives for its number: an old letter must not look like a new one. */
  private static final int FORGET_LIVES = 30;

  private final FleetSettings settings;
  private final FleetRoster roster;
  private final String self;
  private final FleetLink link;
  private final EventLog log;
  private final Sent sent;
  private final Intake intake;
  private final TreeMap<String, byte[]> sections = new TreeMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private final Map<String, Long> dialledAt = new HashMap<>();
  private byte[] content = new byte[0];
  private RowTable table = RowTable.EMPTY;
  private Set<String> inSight = Set.of();
  private boolean newerTold;
  private boolean changed;
  private long letters;
  private Timers timers;
  private Pace pace;
  private Timers.Timer next;
  private volatile boolean closed;

  /**
   * @param self the name of this proxy, one of those in the settings
   * @param incarnation greater than that of any start before
   */
  public FleetMember(FleetSettings settings, String self, long incarnation, FleetLink link, EventLog log) {
    this.settings = settings;
    this.self = self;
    this.link = link;
    this.log = log;
    roster = settings.roster();
    sent = new Sent(incarnation);
    intake = new Intake(roster, self, sent);
  }

  /** Begins; on any thread. @throws IOException where its address can't be listened on */
  public void start(Executor io, Timers ioTimers) throws IOException {
    timers = ioTimers;
    Inbox inbox = new Inbox(io, this::heard, this::look);
    link.start(new FleetLink.Ear() {
      @Override
      public void heard(String sender, byte[] letter) {
        inbox.put(sender, letter);
      }

      @Override
      public void group(String members) {
        log.info("fleet-group", "lemondeal: the transport sees " + members, "members", members);
      }
    });
    io.execute(() -> {
      pace = new Pace(settings.tellMillis(), now());
      tick();
    });
  }

  public String name() {
    return self;
  }

  public FleetRoster roster() {
    return roster;
  }

  /** Milliseconds of the clock by which rows age here; it never goes back. */
  public long now() {
    return timers.now() / MICROS;
  }

  /**
   * Shares this section from now on, in place of what was shared under this name before.
   *
   * @throws IllegalArgumentException where all sections together would be larger than {@link Row#MOST_CONTENT}; what
   *    was shared before stays
   */
  public void publish(String section, byte[] bytes) {
    TreeMap<String, byte[]> with = new TreeMap<>(sections);
    with.put(section, bytes.clone());
    byte[] all = Sections.content(with);
    if (all.length > Row.MOST_CONTENT) {
      throw new IllegalArgumentException("section " + section + ": " + all.length + " bytes in all; allowed: "
          + Row.MOST_CONTENT);
    }
    sections.put(section, with.get(section));
    content = all;
    hasten();
  }

  /** The rows of all that are in sight, this proxy's own among them, by owner. */
  public List<HeldRow> rows(long nowMillis) {
    return table.alive(nowMillis, settings.lifeMillis());
  }

  /** The names of those in sight, this proxy's own among them. */
  public Set<String> inSight() {
    return inSight;
  }

  /** Whether those in sight are more than half of those that the operator names: if not, nothing new is decided. */
  public boolean isInMajority() {
    return roster.isMajority(inSight);
  }

  /** {@code listener} is told when rows came, and when one came in or went out of sight. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Adds what is counted. */
  public void addTo(Map<String, Long> figures) {
    figures.put("fleet_members", (long) roster.size());
    figures.put("fleet_in_sight", (long) inSight.size());
    figures.put("fleet_letters_told", letters);
    for (Drop why : Drop.values()) {
      figures.put("fleet_dropped_" + why.name().toLowerCase(Locale.ROOT), intake.dropped(why));
    }
    link.addTo(figures);
  }

  // ---- Telling -------------------------------------------------------------------------------

  private void hasten() {
    changed = true;
    if (pace != null && !closed) {
      schedule();
    }
  }

  private void schedule() {
    Timers.cancel(next);
    next = timers.after(Math.max(0, pace.nextAt(changed) - now()) * MICROS, this::tick);
  }

  private void tick() {
    if (!closed) {
      tell();
      look();
      schedule();
    }
  }

  private void tell() {
    long now = now();
    Row row = new Row(self, sent.incarnation(), sent.tell(now), 0, content);
    table = table.with(new HeldRow(row, now));
    for (FleetRoster.Named peer : roster.members()) {
      if (!peer.name().equals(self)) {
        link.tell(peer.name(), new Letter(row, intake.heard(peer.name())));
        letters++;
        redial(peer.name(), now);
      }
    }
    pace.told(now, content.length);
    changed = false;
  }

  /** What this proxy says may be stuck in a connection though the network is whole again. */
  private void redial(String peer, long now) {
    HeldRow held = table.of(peer);
    long since = Math.max(held == null ? 0 : held.madeAt(), dialledAt.getOrDefault(peer, 0L));
    if (now - since > settings.lifeMillis()) {
      link.redial(peer);
      dialledAt.put(peer, now);
    }
  }

  // ---- Hearing -------------------------------------------------------------------------------

  private void heard(String sender, byte[] bytes) {
    boolean first = intake.heard(sender) == null;
    HeldRow row = intake.take(sender, bytes, now());
    HeldRow before = table.of(sender);
    if (row != null) {
      table = table.with(row);
      if (before != null && before.row().incarnation() < row.row().incarnation()) {
        log.info("fleet-restarted", "lemondeal: fleet: " + sender + " has started anew", "member", sender,
            "incarnation", row.row().incarnation());
      }
    }
    if (first && intake.heard(sender) != null) {
      // It holds no row of this one's until a letter echoes its own.
      hasten();
    }
    if (!newerTold && intake.dropped(Drop.NEWER_VERSION) > 0) {
      newerTold = true;
      log.warn("fleet-newer-version", "lemondeal: fleet: " + sender + " tells rows of a newer version;"
          + " they are ignored", "member", sender);
    }
  }

  /** Looks who is in sight now, and lets the listeners look. */
  private void look() {
    long now = now();
    table = table.without(now, FORGET_LIVES * settings.lifeMillis());
    Set<String> seen = new TreeSet<>();
    for (HeldRow row : rows(now)) {
      seen.add(row.row().owner());
    }
    if (!seen.equals(inSight)) {
      inSight = seen;
      tellSight();
    }
    listeners.forEach(Runnable::run);
  }

  private void tellSight() {
    Set<String> gone = new TreeSet<>();
    roster.members().forEach(member -> gone.add(member.name()));
    gone.removeAll(inSight);
    boolean majority = isInMajority();
    String names = String.join(" ", inSight);
    log.info("fleet-sight", "lemondeal: fleet: " + inSight.size() + " of " + roster.size() + " in sight, "
        + (majority ? "a majority" : "no majority") + ": " + names + (gone.isEmpty() ? "" : "; not in sight: "
        + String.join(" ", gone)), "in_sight", names, "not_in_sight", String.join(" ", gone), "majority", majority);
  }

  /** Ends the link and its threads; on any thread. */
  @Override
  public void close() {
    closed = true;
    link.close();
  }
}
