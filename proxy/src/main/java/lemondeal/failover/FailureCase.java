package lemondeal.failover;

import java.util.List;

/**
 * Zones that are down at the same time.
 *
 * @param failed their numbers, growing; none in the normal case
 * @param region the region that these zones are, or empty
 * @param place the promise that names the case first
 */
public record FailureCase(List<Integer> failed, String region, SourceLocation location) {
  boolean[] mask(int zones) {
    boolean[] mask = new boolean[zones];
    failed.forEach(zone -> mask[zone] = true);
    return mask;
  }

  /** As a sentence begins: "if hobart fails". */
  String describe(PolicyModel model) {
    if (failed.isEmpty()) {
      return "in the normal case";
    }
    String names = MessageText.join(failed.stream().map(zone -> model.zone(zone).name()).toList());
    if (!region.isEmpty() && failed.size() > 1) {
      return "if region " + region + " (" + names + ") fails";
    }
    return "if " + names + (failed.size() == 1 ? " fails" : " fail");
  }
}
