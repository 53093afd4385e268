package lemondeal.lab.emulator;

import java.util.List;

/**
 * A rule that was broken.
 *
 * @param rule the rule's name
 * @param at microseconds on the run's clock
 * @param subject the request or server that it happened to
 * @param what happened
 * @param before the last events of the subject, oldest first
 */
public record Breach(String rule, long time, String subject, String what, List<String> recentEvents) {
  @Override
  public String toString() {
    return rule + " at " + time + " us, " + subject + ": " + what + (recentEvents.isEmpty() ? "" : "; before: "
        + String.join(" | ", recentEvents));
  }
}
