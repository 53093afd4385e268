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

/** Claims of several proxies on one store whose calls arrive late, in any order, or not at all. */
class ClaimsModelTest {
  private static final String SESSION = "00".repeat(16);
  private static final long LEASE_MILLIS = 1000;

  private long now = 1_000_000;

  /** A store that queues calls until the test runs or drops them. */
  private static final class UnreliableStore implements CasStore {
    final MemoryStore delegate;
    final List<Runnable> pendingCalls = new ArrayList<>();

    UnreliableStore(MemoryStore delegate) {
      this.delegate = delegate;
    }

    @Override
    public void read(String session, Consumer<Result> callback) {
      pendingCalls.add(() -> delegate.read(session, callback));
    }

    @Override
    public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
      pendingCalls.add(() -> delegate.compareAndSet(session, expectedVersion, state, callback));
    }

    @Override
    public void close() {
      delegate.close();
    }
  }

  private Claim claim(long epoch, String holder) {
    return new Claim(SESSION, epoch, holder, LEASE_MILLIS, now + 100_000);
  }

  private static final class Grant {
    final Claim claim;
    final long fence;
    final long expiresAt;

    Grant(Claim claim, long fence, long expiresAt) {
      this.claim = claim;
      this.fence = fence;
      this.expiresAt = expiresAt;
    }
  }

  /**
   * In every order of calls, no two grants are held at once, each fence is higher than all earlier ones, and no token
   * is granted after a connection that continued from it was committed.
   */
  @Property(seed = "21", tries = 400)
  void onlyOneGrantAtATimeAndNoneForAUsedToken(@ForAll long seed) {
    Random random = new Random(seed);
    UnreliableStore store = new UnreliableStore(new MemoryStore(10, () -> now));
    CasClaimService claims = new CasClaimService(store, () -> now);
    ArrayDeque<Grant> openGrants = new ArrayDeque<>();
    long[] highestFence = {0};
    long[] committedEpoch = {0};
    List<Long> epochs = new ArrayList<>(List.of(ClaimRules.FIRST_EPOCH));
    for (int step = 0; step < 120; step++) {
      switch (random.nextInt(6)) {
        case 0, 1 -> {
          Claim claim = claim(epochs.get(random.nextInt(epochs.size())), "h" + step);
          claims.claim(claim, answer -> {
            if (answer instanceof ClaimAnswer.Granted granted) {
              // A grant ends when its lease expires, or a token issued after its attempt came up is claimed.
              openGrants.removeIf(grant -> grant.expiresAt <= now || claim.epoch() >= grant.fence);
              assertTrue(openGrants.isEmpty(), "another grant is held");
              assertTrue(granted.fence() > highestFence[0], "the fence did not increase");
              assertTrue(claim.epoch() >= committedEpoch[0], "granted a used token");
              highestFence[0] = granted.fence();
              openGrants.add(new Grant(claim, granted.fence(), store.delegate.get(SESSION).state().leaseUntil()));
            }
          });
        }
        case 2 -> {
          if (!openGrants.isEmpty() && openGrants.peek().expiresAt > now) {
            // The grant's attempt came up, and the client has a token of its epoch before the store gets the commit.
            Grant grant = openGrants.peek();
            long epoch = grant.fence + random.nextInt(3);
            epochs.add(epoch);
            claims.commit(grant.claim, epoch);
            runOrDropSomeCalls(store, random);
            if (store.delegate.get(SESSION).state().committed() >= epoch) {
              committedEpoch[0] = epoch;
              openGrants.clear();
            }
          }
        }
        case 3 -> {
          if (!openGrants.isEmpty()) {
            claims.release(openGrants.poll().claim);
          }
        }
        case 4 -> now += random.nextInt(600);
        default -> runOrDropOneCall(store, random);
      }
    }
  }

  private static void runOrDropOneCall(UnreliableStore store, Random random) {
    if (!store.pendingCalls.isEmpty()) {
      Runnable call = store.pendingCalls.remove(random.nextInt(store.pendingCalls.size()));
      if (random.nextInt(8) > 0) {
        call.run();
      }
    }
  }

  private static void runOrDropSomeCalls(UnreliableStore store, Random random) {
    for (int i = random.nextInt(12); i > 0; i--) {
      runOrDropOneCall(store, random);
    }
  }

  private ClaimAnswer claimNow(ClaimService claims, Claim claim) {
    List<ClaimAnswer> answers = new ArrayList<>();
    claims.claim(claim, answers::add);
    assertEquals(1, answers.size());
    return answers.get(0);
  }

  @Example
  void concurrentClaimsOfOneTokenAreGrantedOnce() {
    ClaimService claims = new CasClaimService(new MemoryStore(10, () -> now), () -> now);
    Claim first = claim(16, "a");
    assertEquals(new ClaimAnswer.Granted(32), claimNow(claims, first));
    assertEquals(new ClaimAnswer.Held(LEASE_MILLIS), claimNow(claims, claim(16, "b")));
    claims.commit(first, 33);
    assertEquals(new ClaimAnswer.Used(), claimNow(claims, claim(16, "c")));
    assertEquals(new ClaimAnswer.Granted(48), claimNow(claims, claim(33, "d")));
  }

  /** After a release the token is valid again, and writes of the first attempt are fenced off. */
  @Example
  void releasedTokenIsGrantedAgainWithAHigherFence() {
    ClaimService claims = new CasClaimService(new MemoryStore(10, () -> now), () -> now);
    Claim first = claim(16, "a");
    claimNow(claims, first);
    claims.release(first);
    assertEquals(new ClaimAnswer.Granted(48), claimNow(claims, claim(16, "b")));
    claims.release(first);
    assertInstanceOf(ClaimAnswer.Held.class, claimNow(claims, claim(16, "c")), "a must not release the claim of b");
  }

  /** The proxy that held the claim was killed: the lease expires, and a late commit of that proxy has no effect. */
  @Example
  void expiredLeaseAllowsANewClaim() {
    ClaimService claims = new CasClaimService(new MemoryStore(10, () -> now), () -> now);
    Claim first = claim(16, "a");
    claimNow(claims, first);
    now += LEASE_MILLIS;
    Claim second = claim(16, "b");
    assertEquals(new ClaimAnswer.Granted(48), claimNow(claims, second));
    claims.commit(first, 32);
    claims.commit(second, 48);
    assertEquals(new ClaimAnswer.Used(), claimNow(claims, claim(32, "c")));
  }

  /**
   * The proxy that held the claim was killed after its attempt came up and before its commit: the client's new token
   * commits the grant at once, not only when the lease expires, and the previous token is used from then on.
   */
  @Example
  void newTokenCommitsAnUncommittedGrant() {
    ClaimService claims = new CasClaimService(new MemoryStore(10, () -> now), () -> now);
    claimNow(claims, claim(16, "a"));
    assertEquals(new ClaimAnswer.Granted(48), claimNow(claims, claim(33, "b")),
        "33 is the epoch of an attempt of a's grant");
    assertEquals(new ClaimAnswer.Used(), claimNow(claims, claim(16, "c")));
    assertInstanceOf(ClaimAnswer.Held.class, claimNow(claims, claim(33, "d")),
        "b holds the claim now, and 33 is below its fence");
  }

  /** A commit whose call is lost, as when an address of the store fails, is sent again. */
  @Example
  void unansweredCommitIsRetried() {
    MemoryStore delegate = new MemoryStore(10, () -> now);
    int[] failuresLeft = {2};
    CasStore failingStore = new CasStore() {
      @Override
      public void read(String session, Consumer<Result> callback) {
        if (failuresLeft[0]-- > 0) {
          callback.accept(new Result(false, null, "the store: UNAVAILABLE"));
        } else {
          delegate.read(session, callback);
        }
      }

      @Override
      public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
        delegate.compareAndSet(session, expectedVersion, state, callback);
      }

      @Override
      public void close() {
        delegate.close();
      }
    };
    ClaimService claims = new CasClaimService(failingStore, () -> now);
    failuresLeft[0] = 0;
    Claim first = claim(16, "a");
    claimNow(claims, first);
    failuresLeft[0] = 2;
    claims.commit(first, 32);
    assertEquals(new ClaimAnswer.Used(), claimNow(claims, claim(16, "b")), "committed by the third call");
  }

  @Example
  void memoryStoreIsBoundedAndEvictsExpiredSessions() {
    MemoryStore store = new MemoryStore(3, () -> now);
    ClaimService claims = new CasClaimService(store, () -> now);
    Map<String, ClaimAnswer> answers = new HashMap<>();
    for (int i = 0; i < 4; i++) {
      String session = String.format("%032x", i);
      claims.claim(new Claim(session, 16, "a" + i, LEASE_MILLIS, now + 5000 + i),
          answer -> answers.put(session, answer));
    }
    assertInstanceOf(ClaimAnswer.Unknown.class, answers.get(String.format("%032x", 3)));
    assertEquals(3, store.size());
    now += 5001;
    assertInstanceOf(ClaimAnswer.Granted.class, claimNow(claims, claim(16, "z")));
    assertEquals(2, store.size(), "two have expired, one is left, and one is new");
  }
}
