package lemondeal.evacuation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lemondeal.Balancer;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests of the spillover limit, the move rate, the slow-start ramp and the rate limiter. */
class SpilloverLimitTest {
  private static SpilloverLimit.ZoneCapacity capacity(double perSecond) {
    return new SpilloverLimit.ZoneCapacity(0, perSecond, Double.NaN);
  }

  private static final List<SpilloverLimit.ClassDemand> DEMANDS = List.of(new SpilloverLimit.ClassDemand(0, 1, 40),
      new SpilloverLimit.ClassDemand(1, 5, 10), new SpilloverLimit.ClassDemand(2, 1, 20));

  @Example
  void admitsMostValuableClassesFirst() {
    SpilloverLimit.Admission all = SpilloverLimit.compute(List.of(capacity(50), capacity(50)), DEMANDS, 5_000);
    assertEquals(Map.of(0, 1.0, 1, 1.0, 2, 1.0), all.admittedShares());
    assertEquals(0, all.retryAfterMillis());
    SpilloverLimit.Admission partial = SpilloverLimit.compute(List.of(capacity(20), capacity(400.0 / 18)), DEMANDS,
        5_000);
    assertEquals(1.0, partial.admittedShares().get(1));
    assertEquals(28 / 60.0, partial.admittedShares().get(0), 1e-9);
    assertEquals(partial.admittedShares().get(0), partial.admittedShares().get(2));
    assertEquals(1_843, partial.retryAfterMillis(), "70 connections a second for a capacity of 38");
    SpilloverLimit.Admission none = SpilloverLimit.compute(List.of(capacity(0)), DEMANDS, 5_000);
    assertEquals(Map.of(0, 0.0, 1, 0.0, 2, 0.0), none.admittedShares());
    assertEquals(5_000, none.retryAfterMillis());
  }

  @Example
  void ignoresUnknownCapacityAndAppliesPlannedShares() {
    assertEquals(0, SpilloverLimit.compute(List.of(capacity(Double.NaN), capacity(Double.NaN)), DEMANDS, 5_000)
        .retryAfterMillis());
    List<SpilloverLimit.ZoneCapacity> plan = List.of(new SpilloverLimit.ZoneCapacity(0, 1_000, 0.5),
        new SpilloverLimit.ZoneCapacity(2, 10, 0.5));
    SpilloverLimit.Admission planned = SpilloverLimit.compute(plan, DEMANDS, 5_000);
    assertEquals(8 / 60.0, planned.admittedShares().get(0), 1e-9, "18 in total, or zone 2 would be overloaded");
  }

  @Property(seed = "11", tries = 500)
  void admittedDemandStaysWithinCapacity(@ForAll long seed) {
    Random random = new Random(seed);
    List<SpilloverLimit.ZoneCapacity> capacities = new ArrayList<>();
    List<SpilloverLimit.ClassDemand> demands = new ArrayList<>();
    double totalCapacity = 0;
    for (int i = 0; i <= random.nextInt(4); i++) {
      capacities.add(capacity(random.nextInt(60)));
      totalCapacity += capacities.get(i).perSecond();
    }
    for (int i = 0; i <= random.nextInt(5); i++) {
      demands.add(new SpilloverLimit.ClassDemand(i, random.nextInt(3), random.nextInt(40)));
    }
    SpilloverLimit.Admission admission = SpilloverLimit.compute(capacities, demands, 5_000);
    double admitted = 0;
    for (SpilloverLimit.ClassDemand demand : demands) {
      admitted += demand.perSecond() * admission.admittedShares().get(demand.requestClass());
      demands.stream().filter(other -> other.worth() > demand.worth()
          && admission.admittedShares().get(demand.requestClass()) > 0 && demand.perSecond() > 0)
          .forEach(other -> assertEquals(1.0, admission.admittedShares().get(other.requestClass())));
    }
    assertTrue(admitted <= totalCapacity, admitted + " admitted with a capacity of " + totalCapacity);
  }

  @Example
  void splitsMoveRateAndLimitsAMinority() {
    assertEquals(25, MoveRate.perSecond(100, 4, 5));
    assertEquals(20, MoveRate.perSecond(100, 2, 5));
  }

  @Example
  void rampStartsAtTheColdBudget() {
    Balancer.Rules rules = new Balancer.Rules(0, 0, 4, 2_000_000, 0.35, 9_000_000, 0);
    SlowStartRamp ramp = SlowStartRamp.of(rules, 900);
    assertEquals(70, ramp.initialRate(), 1e-9, "half of 4 times 0.35 of 900 in 9 s");
    assertEquals(200, ramp.finalRate(), 1e-9);
    assertEquals(135, ramp.rateAt(4_500), 1e-9);
    assertEquals(Double.POSITIVE_INFINITY, ramp.rateAt(9_000));
    assertEquals(100, ramp.cappedAt(100).rateAt(8_999.999), 1e-3);
    assertEquals(ramp, ramp.cappedAt(Double.NaN));
  }

  /** With any times between requests, a proxy sends at most at its rate, plus one connection from its bucket. */
  @Property(seed = "12", tries = 200)
  void sendsStayWithinTheRate(@ForAll long seed) {
    Random random = new Random(seed);
    double rate = 0.05 + random.nextDouble() * 20;
    int memberCount = 1 + random.nextInt(20);
    List<ZoneMembership.Member> members = new ArrayList<>();
    for (int i = 0; i < memberCount; i++) {
      members.add(new ZoneMembership.Member("p" + i, 0));
    }
    int sent = 0;
    for (int i = 0; i < memberCount; i++) {
      ZoneRateLimiter rateLimiter = new ZoneRateLimiter(ZoneMembership.of(members, "p" + i), 0);
      for (long now = 500; now <= 20_500; now += 1 + random.nextInt(30)) {
        sent += rateLimiter.tryAcquire(new ZoneAccess(1, ZoneAccess.State.OPENING, 0.5, rate / memberCount, 2), now) ? 1
            : 0;
      }
    }
    assertTrue(sent <= rate * 20 + memberCount / 2.0, sent + " sent at " + rate + " a second, members: " + memberCount);
    assertTrue(sent >= rate * 17 - 2 * memberCount, "most of the rate is used: " + sent);
  }
}
