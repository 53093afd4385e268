package lemondeal.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * The effective state of every instance of a service, and what each of the catalog's lists changes. Pure: lists, times
 * and settings go in, changes come out. Every instance passes through {@link Damping}; {@link ListGuard} has decided
 * before whether a list is accepted at all.
 *
 * <p>A list of ten thousand instances of which one changed costs one look-up per instance: members that are the same
 * object as before, as a source's parser reuses them, are not even compared.
 */
public final class MemberTable {

  /**
   * An instance as the proxy is to use it.
   *
   * @param serves whether it gets new work; false drains it
   * @param weight above 0 if it serves
   * @param startedAt Unix milliseconds at which its registration was first seen; 0 for before the first list
   */
  public record EffectiveMember(Member member, boolean serves, int weight, long startedAt) {}

  /**
   * What a list changed.
   *
   * @param changed instances that are new or whose use changed
   * @param removed ids that are no longer listed
   */
  public record Change(List<EffectiveMember> changed, List<String> removed) {
    public boolean isEmpty() {
      return changed.isEmpty() && removed.isEmpty();
    }
  }

  /** The state held for one instance; one entry per id. */
  private static final class Entry {
    private Member member;
    private Damping.State damping;
    private EffectiveMember effective;
    private long startedAt;
    /** The sequence number of the last list that has it. */
    private long lastSeenList;
    /** Whether the last list that was applied has it. */
    private boolean listed;
  }

  private final Map<String, Entry> entries = new HashMap<>();
  private Damping.Settings settings;
  private boolean hasList;
  private long listSequence;
  /** The number of instances in the last list. */
  private int listedCount;
  private int servingCount;
  private long nextRecheckAt = Long.MAX_VALUE;

  public MemberTable(Damping.Settings settings) {
    this.settings = settings;
  }

  /** Applies these damping settings from now on. */
  public void updateSettings(Damping.Settings newSettings) {
    settings = newSettings;
  }

  /** The number of instances held. */
  public int size() {
    return entries.size();
  }

  /** The number of instances held that serve. */
  public int servingCount() {
    return servingCount;
  }

  /**
   * When {@link #recheck} must be called next, in milliseconds on the caller's clock; {@link Long#MAX_VALUE} if no
   * instance is waiting.
   */
  public long nextRecheckAt() {
    return nextRecheckAt;
  }

  /** The number of held instances that serve and are missing from this list. */
  public int countMissing(List<Member> members) {
    int listed = 0;
    long mark = -++listSequence;
    for (Member member : members) {
      Entry entry = entries.get(member.id());
      // Marked, so that a duplicate id does not make up for a missing one.
      if (entry != null && entry.lastSeenList != mark) {
        entry.lastSeenList = mark;
        listed += entry.damping.serves() ? 1 : 0;
      }
    }
    return servingCount - listed;
  }

  /**
   * Applies a full list: instances that it lacks are removed. Of a duplicate id the first entry counts.
   *
   * @param now milliseconds on a monotonic clock
   * @param registeredAt Unix milliseconds that count as the start of instances not listed before
   */
  public Change apply(List<Member> members, long now, long registeredAt) {
    List<EffectiveMember> changed = updateListed(members, now, registeredAt);
    List<String> removed = listedCount == entries.size() ? List.of() : removeUnlisted();
    return new Change(changed, removed);
  }

  /**
   * Applies a list that may lack instances: those that it has are updated or added, and the others stay as they are.
   * They are not returned to service either until a list has them. The parameters are those of {@link #apply}.
   */
  public Change applyPartial(List<Member> members, long now, long registeredAt) {
    List<EffectiveMember> changed = updateListed(members, now, registeredAt);
    entries.values().forEach(entry -> entry.listed = entry.lastSeenList == listSequence);
    return new Change(changed, List.of());
  }

  private List<EffectiveMember> updateListed(List<Member> members, long now, long registeredAt) {
    boolean firstList = !hasList;
    hasList = true;
    long listNumber = ++listSequence;
    nextRecheckAt = Long.MAX_VALUE;
    listedCount = 0;
    List<EffectiveMember> changed = new ArrayList<>();
    for (Member member : members) {
      Entry entry = entries.computeIfAbsent(member.id(), id -> new Entry());
      if (entry.lastSeenList != listNumber) {
        entry.lastSeenList = listNumber;
        entry.listed = true;
        listedCount++;
        updateEntry(entry, member, firstList ? 0 : registeredAt, now, changed);
      }
    }
    return changed;
  }

  /**
   * Returns drained instances that stayed healthy to service once their quiet period has passed, without a new list.
   */
  public Change recheck(long now) {
    nextRecheckAt = Long.MAX_VALUE;
    List<EffectiveMember> changed = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.listed) {
        updateEntry(entry, entry.member, entry.startedAt, now, changed);
      }
    }
    return new Change(changed, List.of());
  }

  /** The instances held, as the lists had them, in no particular order. */
  public List<Member> members() {
    List<Member> members = new ArrayList<>(entries.size());
    entries.values().forEach(entry -> members.add(entry.member));
    return members;
  }

  /** The effective state of every instance, in no particular order. */
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

  private List<String> removeUnlisted() {
    List<String> removed = new ArrayList<>();
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext()) {
      Entry entry = iterator.next();
      if (entry.lastSeenList != listSequence) {
        servingCount -= entry.damping.serves() ? 1 : 0;
        removed.add(entry.member.id());
        iterator.remove();
      }
    }
    return removed;
  }
}
