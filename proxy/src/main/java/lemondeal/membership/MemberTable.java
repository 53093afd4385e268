package lemondeal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * What is believed of every instance of a service, and what changes with each list of the catalogue's. Pure: lists,
 * times and settings go in, changes come out. Every instance passes {@link Damping}; whether a list is believed at all
 * was decided before, by {@link ListGuard}.
 *
 * <p>A list of ten thousand of which one changed costs a look-up for each instance and nothing more: members that are
 * the same object as before, as a source's reader makes them, are not even compared.
 */
public final class MemberTable {

  /**
   * An instance as it is to be used from now on.
   *
   * @param serves whether new work goes there; false drains it
   * @param weight above 0 where it serves
   * @param startedAt Unix milliseconds of its registration as far as seen; 0 for before the first list
   */
  public record EffectiveMember(Member member, boolean serves, int weight, long startedAt) {}

  /**
   * What a list changed.
   *
   * @param changed instances that are new, or used in another way than before
   * @param gone ids that are not listed any more
   */
  public record Change(List<EffectiveMember> changed, List<String> removed) {
    public boolean isEmpty() {
      return changed.isEmpty() && removed.isEmpty();
    }
  }

  /** What is held of one instance; the only one of its id. */
  private static final class Entry {
    private Member member;
    private Damping.State damping;
    private EffectiveMember effective;
    private long startedAt;
    /** The list that last named it. */
    private long lastSeenList;
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private Damping.Settings settings;
  private boolean hasList;
  private long listSequence;
  private int servingCount;
  private long nextRecheckAt = Long.MAX_VALUE;

  public MemberTable(Damping.Settings settings) {
    this.settings = settings;
  }

  /** Damps by these settings from now on. */
  public void updateSettings(Damping.Settings newSettings) {
    settings = newSettings;
  }

  /** Instances held. */
  public int size() {
    return entries.size();
  }

  /** Instances held that serve. */
  public int servingCount() {
    return servingCount;
  }

  /** Milliseconds on the caller's clock at which {@link #recheck} has something to do; {@link Long#MAX_VALUE} where nothing waits. */
  public long nextRecheckAt() {
    return nextRecheckAt;
  }

  /** Instances held that serve and are missing from this list, or fail in it. */
  public int countLost(List<Member> members) {
    int stillServing = 0;
    long mark = -++listSequence;
    for (Member member : members) {
      Entry entry = entries.get(member.id());
      // Marked, so that an id listed twice does not make up for one that is missing.
      if (entry != null && entry.lastSeenList != mark) {
        entry.lastSeenList = mark;
        stillServing += entry.damping.serves() && member.health().serves() ? 1 : 0;
      }
    }
    return servingCount - stillServing;
  }

  /**
   * Believes a whole list: instances that it does not name are gone. Of an id named twice the first counts.
   *
   * @param now milliseconds on a clock that is never stepped
   * @param registeredAt Unix milliseconds: what counts as the start of instances that were not listed before
   */
  public Change apply(List<Member> members, long now, long registeredAt) {
    boolean firstList = !hasList;
    hasList = true;
    long listNumber = ++listSequence;
    nextRecheckAt = Long.MAX_VALUE;
    List<EffectiveMember> changed = new ArrayList<>();
    int namedCount = 0;
    for (Member member : members) {
      Entry entry = entries.computeIfAbsent(member.id(), id -> new Entry());
      if (entry.lastSeenList != listNumber) {
        entry.lastSeenList = listNumber;
        namedCount++;
        updateEntry(entry, member, firstList ? 0 : registeredAt, now, changed);
      }
    }
    List<String> removed = namedCount == entries.size() ? List.of() : removeUnlisted(listNumber);
    return new Change(changed, removed);
  }

  /** Instances that were drained and stayed well serve again once their quiet time is over, without a list. */
  public Change recheck(long now) {
    nextRecheckAt = Long.MAX_VALUE;
    List<EffectiveMember> changed = new ArrayList<>();
    for (Entry entry : entries.values()) {
      updateEntry(entry, entry.member, entry.startedAt, now, changed);
    }
    return new Change(changed, List.of());
  }

  /** Every instance as it is to be used now, in no order. */
  public List<EffectiveMember> effectiveMembers() {
    List<EffectiveMember> members = new ArrayList<>(entries.size());
    entries.values().forEach(entry -> members.add(entry.effective));
    return members;
  }

  private void updateEntry(Entry entry, Member member, long registeredAt, long now, List<EffectiveMember> changed) {
    boolean servedBefore = entry.damping != null && entry.damping.serves();
    entry.damping = entry.damping == null ? Damping.State.first(member.health(), now)
        : Damping.next(entry.damping, member.health(), now, settings);
    boolean serves = entry.damping.serves();
    if (serves != servedBefore) {
      servingCount += serves ? 1 : -1;
    }
    if (!serves && member.health().serves()) {
      nextRecheckAt = Math.min(nextRecheckAt, Damping.servesAgainAt(entry.damping, settings));
    }
    if (entry.member == member && serves == servedBefore && entry.effective != null) {
      return;
    }
    if (entry.member == null || entry.member.incarnation() != member.incarnation()) {
      entry.startedAt = registeredAt;
    }
    entry.member = member;
    int weight = member.health() == Health.WARNING ? member.warningWeight() : member.passingWeight();
    EffectiveMember effective = new EffectiveMember(member, serves && weight > 0, Math.max(weight, 1), entry.startedAt);
    if (!effective.equals(entry.effective)) {
      entry.effective = effective;
      changed.add(effective);
    }
  }

  private List<String> removeUnlisted(long listNumber) {
    List<String> removed = new ArrayList<>();
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      Entry entry = iterator.next();
      if (entry.lastSeenList != listNumber) {
        servingCount -= entry.damping.serves() ? 1 : 0;
        removed.add(entry.member.id());
        iterator.remove();
      }
    }
    return removed;
  }
}
