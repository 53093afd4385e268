package lemondeal.failover;

import java.util.List;

/**
 * A set of zones that are down at the same time.
 *
 * @param failed the indexes of the zones, ascending; empty in the normal case
 * @param region the name of the region if these are all of its zones, or empty
 * @param location where the file has the first requirement with this case
 */
public record FailureCase(List<Integer> failed, String region, SourceLocation location) {
  boolean[] mask(int zones) {
    boolean[] mask = new boolean[zones];
    failed.forEach(zone -> mask[zone] = true);
    return mask;
  }

  /** The condition as the beginning of a sentence: "if hobart fails". */
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
