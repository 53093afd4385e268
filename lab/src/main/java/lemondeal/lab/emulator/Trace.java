package lemondeal.lab.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What happened lately, for a breach's report, and a digest of all that happened, by which two runs are told alike. The
 * digest is FNV-1a over the times and words of every event that is noted.
 */
public final class Trace {
  private static final int KEPT = 4096;
  private static final int SHOWN = 8;

  private final Agenda agenda;
  private final ArrayDeque<String> lately = new ArrayDeque<>();
  private long digest = 0xcbf29ce484222325L;

  Trace(Agenda agenda) {
    this.agenda = agenda;
  }

  /** Notes an event of this subject, such as a request's id or a server's name. */
  void note(String subject, String what) {
    add(agenda.now());
    add(subject);
    add(what);
    if (lately.size() == KEPT) {
      lately.poll();
    }
    lately.add(agenda.now() + " " + subject + " " + what);
  }

  private void add(long value) {
    for (int shift = 0; shift < 64; shift += 8) {
      digest = (digest ^ ((value >>> shift) & 0xff)) * 0x100000001b3L;
    }
  }

  private void add(String text) {
    for (int i = 0; i < text.length(); i++) {
      digest = (digest ^ text.charAt(i)) * 0x100000001b3L;
    }
  }

  /** The same for two runs in which the same things happened at the same times. */
  public long digest() {
    return digest;
  }

  /** The last events of this subject, oldest first. */
  List<String> lately(String subject) {
    List<String> found = new ArrayList<>();
    for (String event : lately) {
      if (event.split(" ", 3)[1].equals(subject)) {
        found.add(event);
      }
    }
    return found.subList(Math.max(0, found.size() - SHOWN), found.size());
  }
}
