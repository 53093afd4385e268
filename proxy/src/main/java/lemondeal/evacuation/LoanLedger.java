package lemondeal.evacuation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What this proxy has lent of its share of one zone's recovery budget. A borrower uses a loan for no longer than the
 * lease time after the report with the loan was written, by its own clock; the lender reserves it for slightly longer
 * than that. So lender and borrower together never use more than the share, without a third party. Rates are
 * thousandths of connections a second.
 */
final class LoanLedger {
  /** A loan rate as it was reported at one time. */
  private record Grant(long grantedAt, int milliRate) {}

  private final Map<Integer, Deque<Grant>> grantsByBorrower = new TreeMap<>();
  private final long retentionMillis;

  /** @param retentionMillis time after which a reported loan can no longer be in use */
  LoanLedger(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /** The highest total rate that the borrowers may be using now. */
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
   * Determines the loans for the report that is written now.
   *
   * @param limit highest rate that may be lent in total, including loans that may still be in use
   * @param wantedByMember by member index, the rate that each wants beyond its own share
   */
  List<EvacuationReport.Loan> grant(long limit, Map<Integer, Integer> wantedByMember, long now) {
    long outstanding = outstanding(now);
    long totalWanted = wantedByMember.values().stream().mapToLong(Integer::longValue).sum();
    List<EvacuationReport.Loan> loans = new ArrayList<>();
    for (Map.Entry<Integer, Integer> entry : new TreeMap<>(wantedByMember).entrySet()) {
      long previousRate = maxRate(grantsByBorrower.getOrDefault(entry.getKey(), new ArrayDeque<>()));
      long proportionalRate = Math.min(entry.getValue(), limit * entry.getValue() / Math.max(1, totalWanted));
      // Lowering a loan frees nothing until the previous rate has expired; raising it takes from the unreserved rate.
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
