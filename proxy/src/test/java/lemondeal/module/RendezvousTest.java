package lemondeal.module;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The hashes: uniform over similar ids, and inside the open unit interval. */
class RendezvousTest {
  private static final int KEYS = 20_000;

  @Test
  void hashIsUniformOverLikeIds() {
    int[] buckets = new int[64];
    for (int i = 0; i < KEYS; i++) {
      long pair = Rendezvous.hash(String.format("%016x", i)) ^ Rendezvous.hash("s");
      buckets[(int) (Rendezvous.toUnitInterval(Rendezvous.mix(pair)) * 64)]++;
    }
    double chi = 0;
    for (int n : buckets) {
      chi += Math.pow(n - KEYS / 64.0, 2) / (KEYS / 64.0);
    }
    // 63 degrees of freedom: 0.999 quantile 103.4.
    assertTrue(chi < 103.4, "chi square " + chi);
  }

  @Test
  void unitStaysInsideTheOpenInterval() {
    for (long h : new long[] {0, -1, 1, Long.MIN_VALUE, Long.MAX_VALUE}) {
      assertTrue(Rendezvous.toUnitInterval(h) > 0 && Rendezvous.toUnitInterval(h) < 1);
      assertTrue(Double.isFinite(StrictMath.log(Rendezvous.toUnitInterval(h))));
    }
  }
}
