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
  private static final long MICROS_PER_MILLI = 1_000;
  /** An owner's last row is kept so many lives for its number: an old letter must not look like a new one. */
  private static final int FORGET_AFTER_TTLS = 30;

  private final FleetSettings settings;
  private final FleetRoster roster;
  private final String self;
  private final FleetTransport transport;
  private final EventLog log;
  private final SentRows sentRows;
  private final MessageValidator validator;
  private final TreeMap<String, byte[]> sections = new TreeMap<>();
  private final List<Runnable> listeners = new ArrayList<>();
  private final Map<String, Long> reconnectedAt = new HashMap<>();
  private byte[] content = new byte[0];
  private RowTable table = RowTable.EMPTY;
  private Set<String> liveMembers = Set.of();
  private boolean newerVersionLogged;
  private boolean contentChanged;
  private long sentMessages;
  private Timers timers;
  private SendPacer pacer;
  private Timers.Timer nextSend;
  private volatile boolean closed;

  /**
   * @param self the name of this proxy, one of those in the settings
   * @param incarnation greater than that of any start before
   */
  public FleetMember(FleetSettings settings, String self, long incarnation, FleetTransport transport, EventLog log) {
    this.settings = settings;
    this.self = self;
    this.transport = transport;
    this.log = log;
    roster = settings.roster();
    sentRows = new SentRows(incarnation);
    validator = new MessageValidator(roster, self, sentRows);
  }

  /** Begins; on any thread. @throws IOException where its address can't be listened on */
  public void start(Executor ioExecutor, Timers ioTimers) throws IOException {
    timers = ioTimers;
    Inbox inbox = new Inbox(ioExecutor, this::receive, this::updateLiveMembers);
    transport.start(new FleetTransport.Listener() {
      @Override
      public void onMessage(String sender, byte[] letter) {
        inbox.put(sender, letter);
      }

      @Override
      public void onViewChange(String members) {
        log.info("fleet-group", "lemondeal: the transport sees " + members, "members", members);
      }
    });
    ioExecutor.execute(() -> {
      pacer = new SendPacer(settings.sendIntervalMillis(), now());
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
    return timers.now() / MICROS_PER_MILLI;
  }

  /**
   * Shares this section from now on, in place of what was shared under this name before.
   *
   * @throws IllegalArgumentException where all sections together would be larger than {@link Row#MOST_CONTENT}; what
   *    was shared before stays
   */
  public void publish(String section, byte[] bytes) {
    TreeMap<String, byte[]> updated = new TreeMap<>(sections);
    updated.put(section, bytes.clone());
    byte[] encoded = Sections.encode(updated);
    if (encoded.length > MemberRow.MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException("section " + section + ": " + encoded.length + " bytes in all; allowed: "
          + MemberRow.MAX_CONTENT_BYTES);
    }
    sections.put(section, updated.get(section));
    content = encoded;
    sendSoon();
  }

  /** The rows of all that are in sight, this proxy's own among them, by owner. */
  public List<TimedRow> liveRows(long nowMillis) {
    return table.liveRows(nowMillis, settings.ttlMillis());
  }

  /** The names of those in sight, this proxy's own among them. */
  public Set<String> liveMembers() {
    return liveMembers;
  }

  /** Whether those in sight are more than half of those that the operator names: if not, nothing new is decided. */
  public boolean hasQuorum() {
    return roster.isMajority(liveMembers);
  }

  /** {@code listener} is told when rows came, and when one came in or went out of sight. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Adds what is counted. */
  public void addTo(Map<String, Long> figures) {
    figures.put("fleet_members", (long) roster.size());
    figures.put("fleet_in_sight", (long) liveMembers.size());
    figures.put("fleet_letters_told", sentMessages);
    for (DropReason reason : DropReason.values()) {
      figures.put("fleet_dropped_" + reason.name().toLowerCase(Locale.ROOT), validator.dropCount(reason));
    }
    transport.addTo(figures);
  }

  // ---- Telling -------------------------------------------------------------------------------

  private void sendSoon() {
    contentChanged = true;
    if (pacer != null && !closed) {
      scheduleSend();
    }
  }

  private void scheduleSend() {
    Timers.cancel(nextSend);
    nextSend = timers.after(Math.max(0, pacer.nextSendAt(contentChanged) - now()) * MICROS_PER_MILLI, this::tick);
  }

  private void tick() {
    if (!closed) {
      sendRow();
      updateLiveMembers();
      scheduleSend();
    }
  }

  private void sendRow() {
    long now = now();
    MemberRow row = new MemberRow(self, sentRows.incarnation(), sentRows.recordSend(now), 0, content);
    table = table.with(new TimedRow(row, now));
    for (FleetRoster.Member peer : roster.members()) {
      if (!peer.name().equals(self)) {
        transport.sendLatest(peer.name(), new FleetMessage(row, validator.lastReceived(peer.name())));
        sentMessages++;
        reconnectIfSilent(peer.name(), now);
      }
    }
    pacer.recordSend(now, content.length);
    contentChanged = false;
  }

  /** What this proxy says may be stuck in a connection though the network is whole again. */
  private void reconnectIfSilent(String peer, long now) {
    TimedRow lastRow = table.rowOf(peer);
    long since = Math.max(lastRow == null ? 0 : lastRow.createdAt(), reconnectedAt.getOrDefault(peer, 0L));
    if (now - since > settings.ttlMillis()) {
      transport.reconnect(peer);
      reconnectedAt.put(peer, now);
    }
  }

  // ---- Hearing -------------------------------------------------------------------------------

  private void receive(String sender, byte[] bytes) {
    boolean firstMessage = validator.lastReceived(sender) == null;
    TimedRow row = validator.validate(sender, bytes, now());
    TimedRow previous = table.rowOf(sender);
    if (row != null) {
      table = table.with(row);
      if (previous != null && previous.row().incarnation() < row.row().incarnation()) {
        log.info("fleet-restarted", "lemondeal: fleet: " + sender + " has started anew", "member", sender,
            "incarnation", row.row().incarnation());
      }
    }
    if (firstMessage && validator.lastReceived(sender) != null) {
      // It holds no row of this one's until a letter echoes its own.
      sendSoon();
    }
    if (!newerVersionLogged && validator.dropCount(DropReason.NEWER_VERSION) > 0) {
      newerVersionLogged = true;
      log.warn("fleet-newer-version", "lemondeal: fleet: " + sender + " tells rows of a newer version;"
          + " they are ignored", "member", sender);
    }
  }

  /** Looks who is in sight now, and lets the listeners look. */
  private void updateLiveMembers() {
    long now = now();
    table = table.withoutOlderThan(now, FORGET_AFTER_TTLS * settings.ttlMillis());
    Set<String> live = new TreeSet<>();
    for (TimedRow row : liveRows(now)) {
      live.add(row.row().owner());
    }
    if (!live.equals(liveMembers)) {
      liveMembers = live;
      logLiveMembers();
    }
    listeners.forEach(Runnable::run);
  }

  private void logLiveMembers() {
    Set<String> absent = new TreeSet<>();
    roster.members().forEach(member -> absent.add(member.name()));
    absent.removeAll(liveMembers);
    boolean majority = hasQuorum();
    String names = String.join(" ", liveMembers);
    log.info("fleet-sight", "lemondeal: fleet: " + liveMembers.size() + " of " + roster.size() + " in sight, "
        + (majority ? "a majority" : "no majority") + ": " + names + (absent.isEmpty() ? "" : "; not in sight: "
        + String.join(" ", absent)), "in_sight", names, "not_in_sight", String.join(" ", absent), "majority", majority);
  }

  /** Ends the link and its threads; on any thread. */
  @Override
  public void close() {
    closed = true;
    transport.close();
  }
}
