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
final class Loans {
  /** A rate as it was told at a moment. */
  private record Told(long at, int rate) {}

  private final Map<Integer, Deque<Told>> told = new TreeMap<>();
  private final long keptBack;

  /** @param keptBack milliseconds after which what was told can be in use no more */
  Loans(long keptBack) {
    this.keptBack = keptBack;
  }

  /** The most that can be in use by all borrowers now. */
  long held(long now) {
    forget(now);
    return told.values().stream().mapToLong(Loans::most).sum();
  }

  private void forget(long now) {
    told.values().forEach(rates -> {
      while (!rates.isEmpty() && now - rates.peekFirst().at() > keptBack) {
        rates.removeFirst();
      }
    });
    told.values().removeIf(Deque::isEmpty);
  }

  private static long most(Deque<Told> rates) {
    return rates.stream().mapToLong(Told::rate).max().orElse(0);
  }

  /**
   * Loans for the row that is written now.
   *
   * @param most that may be lent in all, what may still be in use included
   * @param wants by place, of those that want more than they have
   */
  List<Row.Loan> lend(long most, Map<Integer, Integer> wants, long now) {
    long held = held(now);
    long wanted = wants.values().stream().mapToLong(Integer::longValue).sum();
    List<Row.Loan> loans = new ArrayList<>();
    for (Map.Entry<Integer, Integer> want : new TreeMap<>(wants).entrySet()) {
      long before = most(told.getOrDefault(want.getKey(), new ArrayDeque<>()));
      long part = Math.min(want.getValue(), most * want.getValue() / Math.max(1, wanted));
      // Less than may still be in use frees nothing yet; more takes from what is free.
      int rate = (int) Math.max(0, Math.min(part, before + Math.max(0, most - held)));
      if (rate > 0) {
        held += Math.max(0, rate - before);
        told.computeIfAbsent(want.getKey(), fresh -> new ArrayDeque<>()).addLast(new Told(now, rate));
        loans.add(new Row.Loan(want.getKey(), rate));
      }
    }
    return loans;
  }
}
