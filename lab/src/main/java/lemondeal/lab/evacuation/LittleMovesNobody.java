package lemondeal.lab.evacuation;

import lemondeal.evacuation.Evacuation;

/**
 * A zone is left only after it, or the ways to it, failed for longer than a blip: not for shorter outages, servers that
 * flap, links that drop three in ten, overload, or members that stand still.
 */
public final class LittleMovesNobody extends Checker {
  private static final long BLIP = 1_000;
  /** Evidence may be so old when the last vote is counted. */
  private static final long RECENT = 6_000;

  private final Script script;

  public LittleMovesNobody(Script script) {
    this.script = script;
  }

  @Override
  public void decided(long at, int member, Evacuation.Decision decided) {
    boolean reason = script.faults().stream().anyMatch(fault -> hits(fault, decided.zone())
        && fault.to() - fault.from() >= BLIP && fault.from() + BLIP <= at && fault.to() + RECENT >= at);
    if (decided.evacuates() && decided.countedHere() && !reason) {
      breach(at + " ms: member " + member + " leaves zone " + decided.zone() + " for nothing that lasts");
    }
  }

  private static boolean hits(Fault fault, int zone) {
    return fault.kind() == Fault.Kind.ZONE_DIES && fault.a() == zone
        || (fault.kind() == Fault.Kind.WAY_CUT || fault.kind() == Fault.Kind.MEMBER_CUT) && fault.b() == zone;
  }
}
