package lemondeal.admin;

import java.util.Map;
import lemondeal.config.Limits;
import lemondeal.net.EvictingSet;
import lemondeal.net.Link;

/**
 * The second address, for the operators' staff: a connection brings one line and gets one reply. Its connections are
 * bounded and timed by themselves; beyond the bound the oldest goes, so that whoever keeps one for nothing shuts nobody
 * out.
 */
public final class Admin {

  /** What can be asked of this process, on the I/O thread. */
  public interface Subject {
    /** Whether this process can serve clients. */
    boolean isReady();

    /** Every figure under its name. */
    Map<String, Long> figures();
  }

  private static final String READY = "ready";
  private static final String FIGURES = "show-stat";

  /**
   * Kept free for one just accepted. Guards against a full table that stops the library's accepting: it goes on only
   * when a second connection has closed, and callers without a call once shut all others out for their five seconds.
   */
  private static final int ONE_COMING = 1;

  private final Limits limits;
  private final Subject subject;
  private final EvictingSet<Caller> callers;

  public Admin(Limits limits, Subject subject) {
    this.limits = limits;
    this.subject = subject;
    callers = new EvictingSet<>(() -> limits.adminCallers() - ONE_COMING, Caller::drop);
  }

  public void accepted(Link link) {
    new Caller(limits, link, callers, this::reply).start();
  }

  private String reply(String call) {
    return switch (call.strip()) {
      case READY -> subject.isReady() ? "200 yes\r\n" : "400 no\r\n";
      case FIGURES -> figures();
      default -> "400 unknown call\r\n";
    };
  }

  private String figures() {
    StringBuilder text = new StringBuilder("200 figures\r\n");
    subject.figures().forEach((name, value) -> text.append(name).append('=').append(value).append("\r\n"));
    return text.append("EOF\r\n").toString();
  }
}
