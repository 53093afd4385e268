package lemondeal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * Random histories of a catalog that changes, fails, gives wrong answers and restarts, and of a proxy that restarts
 * with its saved list: the accepted state is checked against a model with the catalog's full history.
 */
class MemberTableModelTest {
  private static final Damping.Settings DAMPING = new Damping.Settings(1_000, 16_000, 120_000);
  private static final ListGuard.Settings GUARD = new ListGuard.Settings(0.5, false, 10_000, 5_000, 5_000);

  private static Member member(String id, Health health, long incarnation) {
    return new Member(id, "a", "m", 0, new InetSocketAddress(InetAddress.getLoopbackAddress(), 80), health, 4, 1,
        incarnation);
  }

  /** Handles answers as {@code ConsulSource} does, on a simulated clock. */
  private static final class SimulatedProxy {
    private MemberTable memberTable = new MemberTable(DAMPING);
    /** What the module has received, by id: all that it knows. */
    private final Map<String, MemberTable.EffectiveMember> delivered = new HashMap<>();
    private List<Member> savedMembers = List.of();
    private long index;
    private long rejectedSince;
    private long now;

    void receive(List<Member> members, long answerIndex, boolean leader) {
      ListGuard.Verdict verdict = ListGuard.evaluate(new ListGuard.Answer(answerIndex, leader, 0, false, members.size(),
          memberTable.countMissing(members)), new ListGuard.HeldList(index, memberTable.servingCount(), rejectedSince),
          now, GUARD);
      if (verdict instanceof ListGuard.Accept accept) {
        index = accept.nextIndex();
        rejectedSince = 0;
        apply(memberTable.apply(members, now, now));
        savedMembers = List.copyOf(members);
      } else if (verdict instanceof ListGuard.Reject reject) {
        index = reject.nextIndex();
        if (reject.bySize()) {
          rejectedSince = rejectedSince == 0 ? now : rejectedSince;
          apply(memberTable.applyPartial(members, now, now));
          savedMembers = memberTable.members();
        }
      }
    }

    void advanceTo(long time) {
      while (memberTable.nextRecheckAt() <= time) {
        now = Math.max(now, memberTable.nextRecheckAt());
        apply(memberTable.recheck(now));
      }
      now = time;
    }

    void restart() {
      memberTable = new MemberTable(DAMPING);
      delivered.clear();
      index = 0;
      rejectedSince = 0;
      if (!savedMembers.isEmpty()) {
        apply(memberTable.apply(savedMembers, now, now));
      }
    }

    private void apply(MemberTable.Change change) {
      change.removed().forEach(delivered::remove);
      change.changed().forEach(effective -> delivered.put(effective.member().id(), effective));
    }

    boolean serves(String id) {
      return delivered.containsKey(id) && delivered.get(id).serves();
    }

    int servingCount() {
      int serving = 0;
      for (MemberTable.EffectiveMember effective : delivered.values()) {
        serving += effective.serves() ? 1 : 0;
      }
      return serving;
    }
  }

  /** The true content of the catalog. */
  private static final class Catalog {
    private final Map<String, Member> members = new HashMap<>();
    private long index = 10;
    private long incarnations;

    List<Member> list() {
      return new ArrayList<>(members.values());
    }
  }

  @Property(seed = "21", tries = 400)
  void acceptedMembersMatchTheModel(@ForAll long seed) {
    Random random = new Random(seed);
    Catalog catalog = new Catalog();
    SimulatedProxy proxy = new SimulatedProxy();
    proxy.now = 1_000_000;
    Map<String, Long> failedAt = new HashMap<>();
    int idCount = 3 + random.nextInt(10);
    for (int i = 0; i < idCount; i++) {
      catalog.members.put("s" + i, member("s" + i, Health.PASSING, ++catalog.incarnations));
    }
    proxy.receive(catalog.list(), catalog.index, true);
    for (int step = 0; step < 120; step++) {
      proxy.advanceTo(proxy.now + random.nextInt(random.nextInt(4) == 0 ? 10_000 : 400));
      Set<String> before = new HashSet<>(proxy.delivered.keySet());
      int servedBefore = proxy.servingCount();
      switch (random.nextInt(9)) {
        case 0 -> {
          proxy.receive(List.of(), catalog.index + 1, true);
          if (servedBefore > 0 && proxy.rejectedSince > 0) {
            assertEquals(before, proxy.delivered.keySet(), "a sudden empty answer removes nothing");
          }
        }
        case 1 -> {
          proxy.receive(List.of(), catalog.index + 1, false);
          assertEquals(before, proxy.delivered.keySet(), "an answer without a leader changes nothing");
        }
        case 2 -> {
          catalog.index = 1 + random.nextInt(5);
          receiveAndCheck(proxy, catalog, failedAt);
        }
        case 3 -> {
          proxy.restart();
          assertEquals(proxy.savedMembers.size(), proxy.delivered.size(), "a restart restores the saved list");
        }
        case 4 -> {
          catalog.index++;
          catalog.members.keySet().removeIf(id -> random.nextInt(3) > 0);
          receiveAndCheck(proxy, catalog, failedAt);
        }
        case 5 -> {
          catalog.index++;
          catalog.members.replaceAll((id, member) -> member(id, Health.CRITICAL, member.incarnation()));
          receiveAndCheck(proxy, catalog, failedAt);
        }
        default -> {
          mutate(random, catalog, idCount);
          receiveAndCheck(proxy, catalog, failedAt);
        }
      }
      assertEquals(proxy.memberTable.size(), proxy.delivered.size());
    }
    // Finally all instances are healthy and quiet: each serves again, and no removed one is left.
    catalog.members.replaceAll((id, member) -> member(id, Health.PASSING, member.incarnation()));
    for (int i = 0; i < 3; i++) {
      catalog.index++;
      proxy.receive(catalog.list(), catalog.index, true);
      proxy.advanceTo(proxy.now + 40_000);
    }
    assertEquals(catalog.members.keySet(), proxy.delivered.keySet());
    catalog.members.keySet().forEach(id -> assertTrue(proxy.serves(id), id + " serves again after its quiet period"));
  }

  private static void mutate(Random random, Catalog catalog, int idCount) {
    String id = "s" + random.nextInt(idCount);
    catalog.index++;
    int choice = random.nextInt(10);
    if (choice == 0) {
      catalog.members.remove(id);
    } else if (choice < 3) {
      catalog.members.put(id, member(id, Health.PASSING, ++catalog.incarnations));
    } else if (catalog.members.containsKey(id)) {
      Health health = Health.values()[random.nextInt(Health.values().length)];
      catalog.members.put(id, member(id, health, catalog.members.get(id).incarnation()));
    }
  }

  /**
   * Delivers one correct answer and checks the result: a failing instance is drained at once, and a new one is used,
   * also while the guard keeps the instances that are missing.
   */
  private static void receiveAndCheck(SimulatedProxy proxy, Catalog catalog, Map<String, Long> failedAt) {
    Map<String, MemberTable.EffectiveMember> beforeList = Map.copyOf(proxy.delivered);
    Map<String, MemberTable.EffectiveMember> before = new HashMap<>(beforeList);
    proxy.receive(catalog.list(), catalog.index, true);
    if (proxy.rejectedSince > 0) {
      before.keySet().removeAll(catalog.members.keySet());
      Map<String, MemberTable.EffectiveMember> missing = new HashMap<>(proxy.delivered);
      missing.keySet().removeAll(catalog.members.keySet());
      assertEquals(before, missing, "the missing instances stay as they are");
      assertTrue(proxy.delivered.keySet().containsAll(catalog.members.keySet()), "the others are updated");
      before = beforeList;
    } else {
      assertEquals(catalog.members.keySet(), proxy.delivered.keySet());
    }
    for (Member member : catalog.members.values()) {
      if (!member.health().serves()) {
        assertFalse(proxy.serves(member.id()), member.id() + " is failing and still serves");
        failedAt.put(member.id(), proxy.now);
      } else if (proxy.serves(member.id()) && !before.containsKey(member.id())) {
        failedAt.remove(member.id());
      } else if (proxy.serves(member.id()) && !before.get(member.id()).serves()) {
        assertTrue(proxy.now - failedAt.getOrDefault(member.id(), 0L) >= DAMPING.initialQuiet(),
            "serves again before its quiet period has passed");
      }
      MemberTable.EffectiveMember previous = before.get(member.id());
      if (previous != null && previous.member().incarnation() != member.incarnation()) {
        assertEquals(proxy.now, proxy.delivered.get(member.id()).startedAt(),
            "a new registration counts as a new start");
      } else if (previous != null) {
        assertEquals(previous.startedAt(), proxy.delivered.get(member.id()).startedAt(),
            "the same registration keeps its start time");
      }
    }
  }

  @Example
  void duplicateIdCountsOnceAndDoesNotHideALostInstance() {
    MemberTable memberTable = new MemberTable(DAMPING);
    assertEquals(3, memberTable.apply(List.of(member("a", Health.PASSING, 1), member("b", Health.PASSING, 2),
        member("c", Health.PASSING, 3)), 1_000, 1_000).changed().size());
    List<Member> duplicated = List.of(member("a", Health.PASSING, 1), member("a", Health.CRITICAL, 1));
    assertEquals(2, memberTable.countMissing(duplicated));
    MemberTable.Change change = memberTable.apply(duplicated, 2_000, 2_000);
    assertEquals(Set.of("b", "c"), new HashSet<>(change.removed()));
    assertEquals(List.of(), change.changed(), "the first entry of a duplicate id counts");
    assertEquals(1, memberTable.servingCount());
  }

  /** Guards against a recheck that returns an instance to service that the newest, doubted list lacks. */
  @Example
  void aMissingInstanceDoesNotReturnToServiceByItself() {
    MemberTable memberTable = new MemberTable(DAMPING);
    memberTable.apply(List.of(member("a", Health.CRITICAL, 1), member("b", Health.PASSING, 2)), 1_000, 1_000);
    memberTable.apply(List.of(member("a", Health.PASSING, 1), member("b", Health.PASSING, 2)), 1_100, 1_100);
    assertTrue(memberTable.applyPartial(List.of(member("b", Health.PASSING, 2)), 1_200, 1_200).isEmpty());
    assertTrue(memberTable.recheck(60_000).isEmpty(), "missing");
    MemberTable.Change change = memberTable.apply(
        List.of(member("a", Health.PASSING, 1), member("b", Health.PASSING, 2)), 60_100, 60_100);
    assertTrue(change.changed().get(0).serves(), "listed again");
  }

  @Example
  void oneChangedMemberOfTenThousandYieldsOneChange() {
    MemberTable memberTable = new MemberTable(DAMPING);
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      members.add(member("s" + i, Health.PASSING, i));
    }
    assertEquals(10_000, memberTable.apply(members, 1_000, 1_000).changed().size());
    members.set(77, member("s77", Health.CRITICAL, 77));
    MemberTable.Change change = memberTable.apply(members, 2_000, 2_000);
    assertEquals(1, change.changed().size());
    assertFalse(change.changed().get(0).serves());
    assertTrue(memberTable.apply(members, 2_500, 2_500).isEmpty(), "an unchanged list yields no change");
  }
}
