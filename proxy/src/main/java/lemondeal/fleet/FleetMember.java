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
 * This proxy as a member of its fleet: sends its own row, holds the rows of the others, and knows which members are
 * live. Subsystems that coordinate through the fleet publish sections of the row here and read the rows of the others.
 * Everything runs on the I/O thread, except {@link #start}, {@link #close} and the threads of {@link FleetTransport}.
 */
public final class FleetMember implements AutoCloseable {
  private static final long MICROS_PER_MILLI = 1_000;
  /**
   * A member's last row is kept for this many TTLs for its sequence number, so that an old message is not taken for a
   * new one.
   */
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
   * @param incarnation greater than that of any earlier start
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

  /**
   * Starts; may be called on any thread.
   *
   * @throws IOException if it cannot listen on its address
   */
  public void start(Executor ioExecutor, Timers ioTimers) throws IOException {
    timers = ioTimers;
    Inbox inbox = new Inbox(ioExecutor, this::receive, this::updateLiveMembers);
    transport.start(new FleetTransport.Listener() {
      @Override
      public void onMessage(String sender, byte[] message) {
        inbox.put(sender, message);
      }

      @Override
      public void onViewChange(String members) {
        log.info("fleet-group", "lemondeal: fleet: the transport's group has " + members, "members", members);
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

  /** Milliseconds of the monotonic clock by which the age of rows is measured. */
  public long now() {
    return timers.now() / MICROS_PER_MILLI;
  }

  /**
   * Publishes this section from now on; replaces a section that was published under the same name.
   *
   * @throws IllegalArgumentException if all sections together would be larger than {@link MemberRow#MAX_CONTENT_BYTES};
   *     the sections published before remain
   */
  public void publish(String section, byte[] bytes) {
    TreeMap<String, byte[]> updated = new TreeMap<>(sections);
    updated.put(section, bytes.clone());
    byte[] encoded = Sections.encode(updated);
    if (encoded.length > MemberRow.MAX_CONTENT_BYTES) {
      throw new IllegalArgumentException("section " + section + ": " + encoded.length + " bytes in total; allowed: "
          + MemberRow.MAX_CONTENT_BYTES);
    }
    sections.put(section, updated.get(section));
    content = encoded;
    sendSoon();
  }

  /** The rows of all live members, this proxy included, ordered by owner. */
  public List<TimedRow> liveRows(long nowMillis) {
    return table.liveRows(nowMillis, settings.ttlMillis());
  }

  /** The names of the live members, this proxy included. */
  public Set<String> liveMembers() {
    return liveMembers;
  }

  /** Whether the live members are more than half of the configured ones; without a majority nothing new is decided. */
  public boolean hasQuorum() {
    return roster.isMajority(liveMembers);
  }

  /** {@code listener} is called when rows have arrived and when the set of live members has changed. */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /** Adds its metrics. */
  public void addTo(Map<String, Long> figures) {
    figures.put("fleet_members", (long) roster.size());
    figures.put("fleet_in_sight", (long) liveMembers.size());
    figures.put("fleet_letters_told", sentMessages);
    for (DropReason reason : DropReason.values()) {
      figures.put("fleet_dropped_" + reason.name().toLowerCase(Locale.ROOT), validator.dropCount(reason));
    }
    transport.addTo(figures);
  }

  // ---- Sending -------------------------------------------------------------------------------

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

  /**
   * Replaces the connection to a peer of which no usable row has come for one TTL: this proxy's messages may be stuck
   * in the old connection although the network has recovered.
   */
  private void reconnectIfSilent(String peer, long now) {
    TimedRow lastRow = table.rowOf(peer);
    long since = Math.max(lastRow == null ? 0 : lastRow.createdAt(), reconnectedAt.getOrDefault(peer, 0L));
    if (now - since > settings.ttlMillis()) {
      transport.reconnect(peer);
      reconnectedAt.put(peer, now);
    }
  }

  // ---- Receiving -----------------------------------------------------------------------------

  private void receive(String sender, byte[] bytes) {
    boolean firstMessage = validator.lastReceived(sender) == null;
    TimedRow row = validator.validate(sender, bytes, now());
    TimedRow previous = table.rowOf(sender);
    if (row != null) {
      table = table.with(row);
      if (previous != null && previous.row().incarnation() < row.row().incarnation()) {
        log.info("fleet-restarted", "lemondeal: fleet: " + sender + " has restarted", "member", sender,
            "incarnation", row.row().incarnation());
      }
    }
    if (firstMessage && validator.lastReceived(sender) != null) {
      // The peer accepts no row of this proxy until a message echoes one of the peer's own.
      sendSoon();
    }
    if (!newerVersionLogged && validator.dropCount(DropReason.NEWER_VERSION) > 0) {
      newerVersionLogged = true;
      log.warn("fleet-newer-version", "lemondeal: fleet: " + sender + " sends rows of a newer version;"
          + " they are ignored", "member", sender);
    }
  }

  /** Updates the set of live members and calls the listeners. */
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
    log.info("fleet-sight", "lemondeal: fleet: " + liveMembers.size() + " of " + roster.size() + " members are live, "
        + (majority ? "a majority" : "no majority") + ": " + names + (absent.isEmpty() ? "" : "; not live: "
        + String.join(" ", absent)), "in_sight", names, "not_in_sight", String.join(" ", absent), "majority", majority);
  }

  /** Closes the transport and its threads; may be called on any thread. */
  @Override
  public void close() {
    closed = true;
    transport.close();
  }
}
