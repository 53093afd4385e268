package lemondeal.lab.evacuation;

import lemondeal.evacuation.Evacuation;

/**
 * A zone is evacuated only if the zone, or the network to it, failed for at least {@link #BLIP_MILLIS}: not for shorter
 * outages, flapping servers, links that drop 30%, overload, or suspended members.
 */
public final class LittleMovesNobody extends InvariantChecker {
  private static final long BLIP_MILLIS = 1_000;
  /** Greatest age of the evidence when the last vote is counted. */
  private static final long MAX_EVIDENCE_AGE_MILLIS = 6_000;

  private final FaultSchedule faultSchedule;

  public LittleMovesNobody(FaultSchedule faultSchedule) {
    this.faultSchedule = faultSchedule;
  }

  @Override
  public void onDecision(long trueTime, int member, Evacuation.Decision decision) {
    boolean justified = faultSchedule.faults().stream().anyMatch(fault -> affects(fault, decision.zone())
        && fault.endMillis() - fault.startMillis() >= BLIP_MILLIS && fault.startMillis() + BLIP_MILLIS <= trueTime
        && fault.endMillis() + MAX_EVIDENCE_AGE_MILLIS >= trueTime);
    if (decision.evacuates() && decision.countedHere() && !justified) {
      reportBreach(trueTime + " ms: member " + member + " evacuates zone " + decision.zone()
          + " without a lasting failure");
    }
  }

  private static boolean affects(Fault fault, int zone) {
    return fault.kind() == Fault.Kind.ZONE_DIES && fault.target() == zone
        || (fault.kind() == Fault.Kind.WAY_CUT || fault.kind() == Fault.Kind.MEMBER_CUT) && fault.parameter() == zone;
  }
}
