package lemondeal.evacuation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What this proxy lent of its share of one zone. A loan is used by its borrower no longer than a share's life after
 * the row that told it was written, by the borrower's own clock; here it is kept back for a little longer than that.
 * So what the two use of a share never sums to more than the share, with no third party. Rates are thousandths of
 * connections a second.
 */
final class LoanLedger {
  /** A rate as it was told at a moment. */
  private record Grant(long grantedAt, int milliRate) {}

  private final Map<Integer, Deque<Grant>> grantsByBorrower = new TreeMap<>();
  private final long retentionMillis;

  /** @param keptBack milliseconds after which what was told can be in use no more */
  LoanLedger(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /** The most that can be in use by all borrowers now. */
  long outstanding(long now) {
    removeExpired(now);
    return grantsByBorrower.values().stream().mapToLong(LoanLedger::maxRate).sum();
  }

  private void removeExpired(long now) {
    grantsByBorrower.values().forEach(grants -> {
      while (!grants.isEmpty() && now - grants.peekFirst().grantedAt() > retentionMillis) {
        grants.removeFirst();
      }
    });
    grantsByBorrower.values().removeIf(Deque::isEmpty);
  }

  private static long maxRate(Deque<Grant> grants) {
    return grants.stream().mapToLong(Grant::milliRate).max().orElse(0);
  }

  /**
   * Loans for the row that is written now.
   *
   * @param most that may be lent in all, what may still be in use included
   * @param wants by place, of those that want more than they have
   */
  List<EvacuationReport.Loan> grant(long limit, Map<Integer, Integer> wantedByMember, long now) {
    long outstanding = outstanding(now);
    long totalWanted = wantedByMember.values().stream().mapToLong(Integer::longValue).sum();
    List<EvacuationReport.Loan> loans = new ArrayList<>();
    for (Map.Entry<Integer, Integer> entry : new TreeMap<>(wantedByMember).entrySet()) {
      long previousRate = maxRate(grantsByBorrower.getOrDefault(entry.getKey(), new ArrayDeque<>()));
      long proportionalRate = Math.min(entry.getValue(), limit * entry.getValue() / Math.max(1, totalWanted));
      // Less than may still be in use frees nothing yet; more takes from what is free.
      int milliRate = (int) Math.max(0, Math.min(proportionalRate, previousRate + Math.max(0, limit - outstanding)));
      if (milliRate > 0) {
        outstanding += Math.max(0, milliRate - previousRate);
        grantsByBorrower.computeIfAbsent(entry.getKey(), key -> new ArrayDeque<>()).addLast(new Grant(now, milliRate));
        loans.add(new EvacuationReport.Loan(entry.getKey(), milliRate));
      }
    }
    return loans;
  }
}
