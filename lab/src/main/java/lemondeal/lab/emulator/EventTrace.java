package lemondeal.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What happened lately, for a breach's report, and a digest of all that happened, by which two runs are told alike. The
 * digest is FNV-1a over the times and words of every event that is noted.
 */
public final class EventTrace {
  private static final int MAX_KEPT = 4096;
  private static final int MAX_SHOWN = 8;

  private final EventScheduler scheduler;
  private final ArrayDeque<String> recentEvents = new ArrayDeque<>();
  private long digest = 0xcbf29ce484222325L;

  EventTrace(EventScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Notes an event of this subject, such as a request's id or a server's name. */
  void recordEvent(String subject, String text) {
    addToDigest(scheduler.now());
    addToDigest(subject);
    addToDigest(text);
    if (recentEvents.size() == MAX_KEPT) {
      recentEvents.poll();
    }
    recentEvents.add(scheduler.now() + " " + subject + " " + text);
  }

  private void addToDigest(long value) {
    for (int shift = 0; shift < 64; shift += 8) {
      digest = (digest ^ ((value >>> shift) & 0xff)) * 0x100000001b3L;
    }
  }

  private void addToDigest(String text) {
    for (int i = 0; i < text.length(); i++) {
      digest = (digest ^ text.charAt(i)) * 0x100000001b3L;
    }
  }

  /** The same for two runs in which the same things happened at the same times. */
  public long digest() {
    return digest;
  }

  /** The last events of this subject, oldest first. */
  List<String> recentEvents(String subject) {
    List<String> found = new ArrayList<>();
    for (String event : recentEvents) {
      if (event.split(" ", 3)[1].equals(subject)) {
        found.add(event);
      }
    }
    return found.subList(Math.max(0, found.size() - MAX_SHOWN), found.size());
  }
}
