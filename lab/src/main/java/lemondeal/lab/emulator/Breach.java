package lemondeal.lab.emulator;

import java.util.List;

/**
 * A breach of a rule.
 *
 * @param rule the rule's name
 * @param time microseconds on the run's clock
 * @param subject the request, server or proxy concerned
 * @param what what happened
 * @param recentEvents the most recent events of the subject, oldest first
 */
public record Breach(String rule, long time, String subject, String what, List<String> recentEvents) {
  @Override
  public String toString() {
    return rule + " at " + time + " us, " + subject + ": " + what + (recentEvents.isEmpty() ? "" : "; before: "
        + String.join(" | ", recentEvents));
  }
}
