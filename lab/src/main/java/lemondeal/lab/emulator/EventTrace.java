package lemondeal.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The recent events of a run, for the reports of breaches, and a digest of all events, by which two runs can be
 * compared. The digest is FNV-1a over the time, subject and text of every recorded event.
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

  /** Records an event of a subject, such as a request's id or a server's name. */
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

  /** Equal for two runs with the same events at the same times. */
  public long digest() {
    return digest;
  }

  /** The most recent events of this subject, oldest first. */
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
