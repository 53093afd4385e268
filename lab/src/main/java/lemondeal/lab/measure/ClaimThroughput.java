package lemondeal.lab.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import lemondeal.claims.CasClaimService;
import lemondeal.claims.CasStore;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.DiskStore;
import lemondeal.claims.FleetStore;
import lemondeal.claims.MemoryStore;
import lemondeal.lab.claims.FakeClaimStore;
import lemondeal.log.PlainLog;

/** Measures the claims per second of each store: claims and settles new sessions, with a bounded number in flight. */
final class ClaimThroughput {
  private static final int MAX_IN_FLIGHT = 64;
  private static final long LEASE_MILLIS = 10_000;

  private ClaimThroughput() {}

  /** Returns the claims per second over about {@code millis}. */
  static double memory(long millis) throws InterruptedException {
    return rate(new MemoryStore(Integer.MAX_VALUE, System::currentTimeMillis), 1, millis);
  }

  static double disk(long millis) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("lemondeal-claims");
    try {
      return rate(DiskStore.open(folder, Integer.MAX_VALUE, System::currentTimeMillis, new PlainLog(System.err)),
          MAX_IN_FLIGHT, millis);
    } finally {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    }
  }

  static double fleet(long millis) throws IOException, InterruptedException {
    try (FakeClaimStore server = new FakeClaimStore()) {
      return rate(FleetStore.open(List.of(server.address()), null, 5000, new PlainLog(System.err)),
          MAX_IN_FLIGHT, millis);
    }
  }

  private static double rate(CasStore store, int maxInFlight, long millis) throws InterruptedException {
    CasClaimService claims = new CasClaimService(store, System::currentTimeMillis);
    run(claims, 0, maxInFlight, millis / 4);
    double rate = run(claims, 1, maxInFlight, millis);
    claims.close();
    return rate;
  }

  private static double run(CasClaimService claims, int round, int maxInFlight, long millis)
      throws InterruptedException {
    Semaphore permits = new Semaphore(maxInFlight);
    AtomicLong granted = new AtomicLong();
    long startNanos = System.nanoTime();
    long endNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    for (long i = 0; System.nanoTime() < endNanos; i++) {
      permits.acquire();
      Claim claim = new Claim(String.format("%016x%016x", round, i), 16, "h", LEASE_MILLIS,
          System.currentTimeMillis() + LEASE_MILLIS);
      claims.claim(claim, answer -> {
        if (answer instanceof ClaimAnswer.Granted grant) {
          granted.incrementAndGet();
          claims.commit(claim, grant.fence());
        }
        permits.release();
      });
    }
    permits.acquire(maxInFlight);
    return granted.get() * 1e9 / (System.nanoTime() - startNanos);
  }
}
