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
 * Random histories of a catalogue that changes, fails, lies and restarts, and a proxy that restarts with its saved list:
 * what is believed is held to a model that knows the catalogue's whole past.
 */
class MemberTableModelTest {
  private static final Damping.Settings DAMPING = new Damping.Settings(1_000, 16_000, 120_000);
  private static final ListGuard.Settings GUARD = new ListGuard.Settings(0.5, false, 10_000, 5_000);

  private static Member member(String id, Health health, long incarnation) {
    return new Member(id, "a", "m", 0, new InetSocketAddress(InetAddress.getLoopbackAddress(), 80), health, 4, 1,
        incarnation);
  }

  /** What the proxy does with answers, as its source does it, on a clock of the test's. */
  private static final class SimulatedProxy {
    private MemberTable memberTable = new MemberTable(DAMPING);
    /** What the module was told, by id: its whole knowledge. */
    private final Map<String, MemberTable.EffectiveMember> delivered = new HashMap<>();
    private List<Member> savedMembers = List.of();
    private long index;
    private long rejectedSince;
    private long now;

    void receive(List<Member> members, long answerIndex, boolean leader) {
      ListGuard.Verdict verdict = ListGuard.evaluate(new ListGuard.Answer(answerIndex, leader, 0, false, members.size(),
          memberTable.countLost(members)), new ListGuard.HeldList(index, memberTable.servingCount(), rejectedSince), now, GUARD);
      if (verdict instanceof ListGuard.Accept accept) {
        index = accept.nextIndex();
        rejectedSince = 0;
        apply(memberTable.apply(members, now, now));
        savedMembers = List.copyOf(members);
      } else if (verdict instanceof ListGuard.Reject reject) {
        index = reject.nextIndex();
        if (reject.bySize() && rejectedSince == 0) {
          rejectedSince = now;
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

  /** The catalogue as it truly is, and when each instance was last failing in an answer that was believed. */
  private static final class Catalogue {
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
    Catalogue catalogue = new Catalogue();
    SimulatedProxy proxy = new SimulatedProxy();
    proxy.now = 1_000_000;
    Map<String, Long> failedAt = new HashMap<>();
    int idCount = 3 + random.nextInt(10);
    for (int i = 0; i < idCount; i++) {
      catalogue.members.put("s" + i, member("s" + i, Health.PASSING, ++catalogue.incarnations));
    }
    proxy.receive(catalogue.list(), catalogue.index, true);
    for (int step = 0; step < 120; step++) {
      proxy.advanceTo(proxy.now + random.nextInt(random.nextInt(4) == 0 ? 10_000 : 400));
      Set<String> before = new HashSet<>(proxy.delivered.keySet());
      int servedBefore = proxy.servingCount();
      switch (random.nextInt(8)) {
        case 0 -> {
          proxy.receive(List.of(), catalogue.index + 1, true);
          if (servedBefore > 0 && proxy.rejectedSince > 0) {
            assertEquals(before, proxy.delivered.keySet(), "an empty answer at once takes nothing away");
          }
        }
        case 1 -> {
          proxy.receive(List.of(), catalogue.index + 1, false);
          assertEquals(before, proxy.delivered.keySet(), "without a leader nothing is believed");
        }
        case 2 -> {
          catalogue.index = 1 + random.nextInt(5);
          receiveAndCheck(proxy, catalogue, failedAt);
        }
        case 3 -> {
          proxy.restart();
          assertEquals(proxy.savedMembers.size(), proxy.delivered.size(), "a restart knows the list that was saved");
        }
        default -> {
          mutate(random, catalogue, idCount);
          receiveAndCheck(proxy, catalogue, failedAt);
        }
      }
      assertEquals(proxy.memberTable.size(), proxy.delivered.size());
    }
    // At the end all is well and quiet: every instance serves again, none that is gone is left.
    catalogue.members.replaceAll((id, member) -> member(id, Health.PASSING, member.incarnation()));
    for (int i = 0; i < 3; i++) {
      catalogue.index++;
      proxy.receive(catalogue.list(), catalogue.index, true);
      proxy.advanceTo(proxy.now + 40_000);
    }
    assertEquals(catalogue.members.keySet(), proxy.delivered.keySet());
    catalogue.members.keySet().forEach(id -> assertTrue(proxy.serves(id), id + " is back after its quiet"));
  }

  private static void mutate(Random random, Catalogue catalogue, int idCount) {
    String id = "s" + random.nextInt(idCount);
    catalogue.index++;
    int choice = random.nextInt(10);
    if (choice == 0) {
      catalogue.members.remove(id);
    } else if (choice < 3) {
      catalogue.members.put(id, member(id, Health.PASSING, ++catalogue.incarnations));
    } else if (catalogue.members.containsKey(id)) {
      Health health = Health.values()[random.nextInt(Health.values().length)];
      catalogue.members.put(id, member(id, health, catalogue.members.get(id).incarnation()));
    }
  }

  /** One true answer, and what must hold after it: failing is a drain at once unless the guard holds the list. */
  private static void receiveAndCheck(SimulatedProxy proxy, Catalogue catalogue, Map<String, Long> failedAt) {
    Map<String, MemberTable.EffectiveMember> before = new HashMap<>(proxy.delivered);
    proxy.receive(catalogue.list(), catalogue.index, true);
    if (proxy.rejectedSince > 0) {
      assertEquals(before, proxy.delivered, "a list that is kept changes nothing");
      return;
    }
    assertEquals(catalogue.members.keySet(), proxy.delivered.keySet());
    for (Member member : catalogue.members.values()) {
      if (!member.health().serves()) {
        assertFalse(proxy.serves(member.id()), member.id() + " fails and gets work");
        failedAt.put(member.id(), proxy.now);
      } else if (proxy.serves(member.id()) && !before.containsKey(member.id())) {
        failedAt.remove(member.id());
      } else if (proxy.serves(member.id()) && !before.get(member.id()).serves()) {
        assertTrue(proxy.now - failedAt.getOrDefault(member.id(), 0L) >= DAMPING.initialQuiet(), "back too soon");
      }
      MemberTable.EffectiveMember previous = before.get(member.id());
      if (previous != null && previous.member().incarnation() != member.incarnation()) {
        assertEquals(proxy.now, proxy.delivered.get(member.id()).startedAt(), "registered anew is a cold server");
      } else if (previous != null) {
        assertEquals(previous.startedAt(), proxy.delivered.get(member.id()).startedAt(), "the same process is no restart");
      }
    }
  }

  @Example
  void duplicateIdCountsOnceAndDoesNotHideALostInstance() {
    MemberTable memberTable = new MemberTable(DAMPING);
    assertEquals(3, memberTable.apply(List.of(member("a", Health.PASSING, 1), member("b", Health.PASSING, 2),
        member("c", Health.PASSING, 3)), 1_000, 1_000).changed().size());
    List<Member> duplicated = List.of(member("a", Health.PASSING, 1), member("a", Health.CRITICAL, 1));
    assertEquals(2, memberTable.countLost(duplicated));
    MemberTable.Change change = memberTable.apply(duplicated, 2_000, 2_000);
    assertEquals(Set.of("b", "c"), new HashSet<>(change.removed()));
    assertEquals(List.of(), change.changed(), "the first of the same id counts");
    assertEquals(1, memberTable.servingCount());
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
    assertTrue(memberTable.apply(members, 2_500, 2_500).isEmpty(), "nothing new is nothing to tell");
  }
}
