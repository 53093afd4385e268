package lemondeal.claims;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Claims by several proxies on one store whose calls come late, in any order, or not at all. */
class ClaimsModelTest {
  private static final String SESSION = "00".repeat(16);
  private static final long LEASE = 1000;

  private long now = 1_000_000;

  /** A store whose calls lie about until the test lets one through, or loses it. */
  private static final class Lying implements CasStore {
    final MemoryStore inner;
    final List<Runnable> calls = new ArrayList<>();

    Lying(MemoryStore inner) {
      this.inner = inner;
    }

    @Override
    public void read(String session, Consumer<Written> told) {
      calls.add(() -> inner.read(session, told));
    }

    @Override
    public void compareAndSet(String session, long version, ClaimState state, Consumer<Written> told) {
      calls.add(() -> inner.compareAndSet(session, version, state, told));
    }

    @Override
    public void close() {
      inner.close();
    }
  }

  private Claim claim(long epoch, String holder) {
    return new Claim(SESSION, epoch, holder, LEASE, now + 100_000);
  }

  private static final class Grant {
    final Claim claim;
    final long fence;
    final long until;

    Grant(Claim claim, long fence, long until) {
      this.claim = claim;
      this.fence = fence;
      this.until = until;
    }
  }

  /**
   * Whatever the order: no two grants hold at once, each fence is above all earlier ones, and no token is granted once a
   * connection that went on from it has been settled.
   */
  @Property(seed = "21", tries = 400)
  void oneGrantAtATimeAndNoneOnAUsedToken(@ForAll long seed) {
    Random random = new Random(seed);
    Lying store = new Lying(new MemoryStore(10, () -> now));
    CasClaims claims = new CasClaims(store, () -> now);
    ArrayDeque<Grant> open = new ArrayDeque<>();
    long[] highest = {0};
    long[] settledFrom = {0};
    List<Long> epochs = new ArrayList<>(List.of(ClaimRules.FIRST));
    for (int step = 0; step < 120; step++) {
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          Claim asked = claim(epochs.get(random.nextInt(epochs.size())), "h" + step);
          claims.claim(asked, answer -> {
            if (answer instanceof ClaimAnswer.Granted granted) {
              // A grant ends when its lease does, or when a token that only its attempt could make is claimed.
              open.removeIf(grant -> grant.until <= now || asked.epoch() >= grant.fence);
              assertTrue(open.isEmpty(), "another grant holds");
              assertTrue(granted.fence() > highest[0], "a fence comes again");
              assertTrue(asked.epoch() >= settledFrom[0], "granted a used token");
              highest[0] = granted.fence();
              open.add(new Grant(asked, granted.fence(), store.inner.get(SESSION).state().leaseUntil()));
            }
          });
        }
        case 2 -> {
          if (!open.isEmpty() && open.peek().until > now) {
            // Its attempt came up, and its client has a token of that epoch at once; the store hears of it later.
            Grant grant = open.peek();
            long epoch = grant.fence + random.nextInt(3);
            epochs.add(epoch);
            claims.settle(grant.claim, epoch);
            drain(store, random);
            if (store.inner.get(SESSION).state().committed() >= epoch) {
              settledFrom[0] = epoch;
              open.clear();
            }
          }
        }
        case 3 -> {
          if (!open.isEmpty()) {
            claims.giveBack(open.poll().claim);
          }
        }
        case 4 -> now += random.nextInt(600);
        default -> let(store, random);
      }
    }
  }

  /** Lets one call through, or loses it. */
  private static void let(Lying store, Random random) {
    if (!store.calls.isEmpty()) {
      Runnable call = store.calls.remove(random.nextInt(store.calls.size()));
      if (random.nextInt(8) > 0) {
        call.run();
      }
    }
  }

  private static void drain(Lying store, Random random) {
    for (int i = random.nextInt(12); i > 0; i--) {
      let(store, random);
    }
  }

  private ClaimAnswer now(Claims claims, Claim claim) {
    List<ClaimAnswer> answers = new ArrayList<>();
    claims.claim(claim, answers::add);
    assertEquals(1, answers.size());
    return answers.get(0);
  }

  @Example
  void aTokenTwiceAtOnceIsGrantedOnce() {
    Claims claims = new CasClaims(new MemoryStore(10, () -> now), () -> now);
    Claim first = claim(16, "a");
    assertEquals(new ClaimAnswer.Granted(32), now(claims, first));
    assertEquals(new ClaimAnswer.Held(LEASE), now(claims, claim(16, "b")));
    claims.settle(first, 33);
    assertEquals(new ClaimAnswer.Used(), now(claims, claim(16, "c")));
    assertEquals(new ClaimAnswer.Granted(48), now(claims, claim(33, "d")));
  }

  /** Given back, a token is good again; but whatever the first attempt still does is fenced out. */
  @Example
  void givenBackItIsGoodAgainWithAHigherFence() {
    Claims claims = new CasClaims(new MemoryStore(10, () -> now), () -> now);
    Claim first = claim(16, "a");
    now(claims, first);
    claims.giveBack(first);
    assertEquals(new ClaimAnswer.Granted(48), now(claims, claim(16, "b")));
    claims.giveBack(first);
    assertInstanceOf(ClaimAnswer.Held.class, now(claims, claim(16, "c")), "b's claim is not a's to give back");
  }

  /** The proxy that held it was killed: the lease runs out, and what it sent late must not settle any more. */
  @Example
  void aLeaseRunsOut() {
    Claims claims = new CasClaims(new MemoryStore(10, () -> now), () -> now);
    Claim first = claim(16, "a");
    now(claims, first);
    now += LEASE;
    Claim second = claim(16, "b");
    assertEquals(new ClaimAnswer.Granted(48), now(claims, second));
    claims.settle(first, 32);
    claims.settle(second, 48);
    assertEquals(new ClaimAnswer.Used(), now(claims, claim(32, "c")));
  }

  /**
   * The proxy that held it was killed after the attempt came up and before the store heard so: the client's new token
   * settles the grant, at once and not when the lease has run out, and the token before it is used from then on.
   */
  @Example
  void theNewTokenSettlesWhatWasNotSettled() {
    Claims claims = new CasClaims(new MemoryStore(10, () -> now), () -> now);
    now(claims, claim(16, "a"));
    assertEquals(new ClaimAnswer.Granted(48), now(claims, claim(33, "b")), "an attempt of a's grant came up at 33");
    assertEquals(new ClaimAnswer.Used(), now(claims, claim(16, "c")));
    assertInstanceOf(ClaimAnswer.Held.class, now(claims, claim(33, "d")), "b holds now, and 33 is below its fence");
  }

  /** A settle whose call is lost, as with an address of the store that fails, is sent again. */
  @Example
  void aSettleThatIsNotAnsweredIsSentAgain() {
    MemoryStore inner = new MemoryStore(10, () -> now);
    int[] lost = {2};
    CasStore failing = new CasStore() {
      @Override
      public void read(String session, Consumer<Written> told) {
        if (lost[0]-- > 0) {
          told.accept(new Written(false, null, "the store: UNAVAILABLE"));
        } else {
          inner.read(session, told);
        }
      }

      @Override
      public void compareAndSet(String session, long version, ClaimState state, Consumer<Written> told) {
        inner.compareAndSet(session, version, state, told);
      }

      @Override
      public void close() {
        inner.close();
      }
    };
    Claims claims = new CasClaims(failing, () -> now);
    lost[0] = 0;
    Claim first = claim(16, "a");
    now(claims, first);
    lost[0] = 2;
    claims.settle(first, 32);
    assertEquals(new ClaimAnswer.Used(), now(claims, claim(16, "b")), "settled on the third word");
  }

  @Example
  void memoryIsBoundedAndForgets() {
    MemoryStore store = new MemoryStore(3, () -> now);
    Claims claims = new CasClaims(store, () -> now);
    Map<String, ClaimAnswer> answers = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      String session = String.format("%032x", i);
      claims.claim(new Claim(session, 16, "a" + i, LEASE, now + 5000 + i), answer -> answers.put(session, answer));
    }
    assertInstanceOf(ClaimAnswer.Unknown.class, answers.get(String.format("%032x", 3)));
    assertEquals(3, store.size());
    now += 5001;
    assertInstanceOf(ClaimAnswer.Granted.class, now(claims, claim(16, "z")));
    assertEquals(2, store.size(), "two were forgotten when their time came, and one is new");
  }
}
