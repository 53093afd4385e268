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
import lemondeal.claims.CasClaims;
import lemondeal.claims.CasStore;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.DiskStore;
import lemondeal.claims.FleetStore;
import lemondeal.claims.MemoryStore;
import lemondeal.lab.claims.ClaimStoreServer;
import lemondeal.log.PlainLog;

/** Claims a second of each maker: new sessions, claimed and settled, a bounded number under way. */
final class ClaimRate {
  private static final int UNDER_WAY = 64;
  private static final long LEASE = 10_000;

  private ClaimRate() {}

  /** Claims a second over about so many milliseconds. */
  static double memory(long millis) throws InterruptedException {
    return rate(new MemoryStore(Integer.MAX_VALUE, System::currentTimeMillis), 1, millis);
  }

  static double disk(long millis) throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("lemondeal-claims");
    try {
      return rate(DiskStore.open(folder, Integer.MAX_VALUE, System::currentTimeMillis, new PlainLog(System.err)),
          UNDER_WAY, millis);
    } finally {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    }
  }

  static double fleet(long millis) throws IOException, InterruptedException {
    try (ClaimStoreServer server = new ClaimStoreServer()) {
      return rate(FleetStore.open(List.of(server.address()), null, 5000, new PlainLog(System.err)), UNDER_WAY, millis);
    }
  }

  private static double rate(CasStore store, int underWay, long millis) throws InterruptedException {
    CasClaims claims = new CasClaims(store, System::currentTimeMillis);
    run(claims, 0, underWay, millis / 4);
    double rate = run(claims, 1, underWay, millis);
    claims.close();
    return rate;
  }

  private static double run(CasClaims claims, int round, int underWay, long millis) throws InterruptedException {
    Semaphore places = new Semaphore(underWay);
    AtomicLong granted = new AtomicLong();
    long begun = System.nanoTime();
    long end = begun + TimeUnit.MILLISECONDS.toNanos(millis);
    for (long i = 0; System.nanoTime() < end; i++) {
      places.acquire();
      Claim claim = new Claim(String.format("%016x%016x", round, i), 16, "h", LEASE,
          System.currentTimeMillis() + LEASE);
      claims.claim(claim, answer -> {
        if (answer instanceof ClaimAnswer.Granted won) {
          granted.incrementAndGet();
          claims.settle(claim, won.fence());
        }
        places.release();
      });
    }
    places.acquire(underWay);
    return granted.get() * 1e9 / (System.nanoTime() - begun);
  }
}
