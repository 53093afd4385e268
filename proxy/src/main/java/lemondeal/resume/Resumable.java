package lemondeal.resume;

import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.ClaimRules;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ServerLine;
import lemondeal.resume.ResumeRules.Verdict;

/**
 * One connection of a session. Counts the lines each way, gives the client tokens, and claims the session before a
 * connection goes on with it. docs/RESUME-WIRE.md specifies what stands on the wire.
 */
final class Resumable implements Continuity {
  private static final long MILLI = 1000;
  private static final String END = "\r\n";
  private static final Set<String> OURS = Set.of("resume", "token", "got", "session", "epoch", "have");
  private static final Pattern RESUMED = Pattern.compile("UP [^ ]+ resumed=([0-9]{1,18})");
  private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

  private enum Phase { WAITING, CLAIMING, ADMITTED, UP, OVER }

  private final Resumption resumption;
  private final OpenLine open;
  private final String group;
  private Side side;
  private Phase phase = Phase.WAITING;
  /** The session and where it stands. */
  private String session;
  private long fence = ClaimRules.FIRST;
  private long epoch;
  private long toClient;
  private long fromClient;
  private long acknowledged;
  private String server = "";
  /** Why the client is told to begin anew; empty where it is not. */
  private String anew = "";
  private Claim claim;
  private boolean entered;
  /** Whether it can be resumed. */
  private boolean tracked;
  /** Stays so once a session has stood: what has come of a line is held back, and must be passed on with its rest. */
  private boolean resumes;
  private boolean moved;
  private long tokenAt;
  private long tokenToClient;
  private long tokenAcknowledged;

  Resumable(Resumption resumption, OpenLine open) {
    this.resumption = resumption;
    this.open = open;
    group = resumption.codec().group(open.value("g"));
  }

  // ---- Before the decision module hears of it --------------------------------------------------

  @Override
  public void begin(Side clientSide) {
    side = clientSide;
    String text = open.value("token");
    if (text == null) {
      anew();
      return;
    }
    decide(verdict(text));
  }

  private Verdict verdict(String text) {
    try {
      Token token = resumption.codec().read(text, resumption.keys());
      return ResumeRules.present(token, open.value("c"), group, whole(open.value("got")), resumption.now(),
          resumption.settings().skew());
    } catch (TokenException e) {
      return ResumeRules.unreadable(e.fault());
    }
  }

  private void decide(Verdict verdict) {
    if (verdict instanceof ResumeRules.Claimable claimable) {
      claim(claimable);
    } else if (verdict instanceof ResumeRules.Continue granted) {
      fence = granted.fence();
      admit();
    } else if (verdict instanceof ResumeRules.Anew begin) {
      anew = begin.reason();
      anew();
    } else if (verdict instanceof ResumeRules.Busy busy) {
      resumption.count("busy");
      phase = Phase.OVER;
      side.throttle(Math.max(1, busy.millis()) * MILLI);
    } else if (verdict instanceof ResumeRules.Fail fail) {
      resumption.count("refused." + fail.reason());
      phase = Phase.OVER;
      side.fail("ERR " + fail.reason());
    }
  }

  /** A session of its own, from its first line. */
  private void anew() {
    session = resumption.newSession();
    admit();
  }

  private void admit() {
    phase = Phase.ADMITTED;
    entered = resumption.enter();
    side.admit();
  }

  private void claim(ResumeRules.Claimable claimable) {
    Token token = claimable.token();
    ResumeSettings settings = resumption.settings();
    session = token.session();
    toClient = claimable.have();
    acknowledged = token.fromClient();
    phase = Phase.CLAIMING;
    Claim asked = new Claim(session, token.epoch(), resumption.newHolder(), settings.lease(),
        resumption.now() + settings.life() + settings.lease() + 2 * settings.skew());
    side.after(settings.patience() * MILLI, () -> answered(asked, new ClaimAnswer.Unknown("silent")));
    resumption.claims().claim(asked, answer -> side.later(() -> answered(asked, answer)));
  }

  /** Hears the store, or its silence. A right granted to a client that has left or was told to wait is given back. */
  private void answered(Claim asked, ClaimAnswer answer) {
    boolean granted = answer instanceof ClaimAnswer.Granted;
    if (phase != Phase.CLAIMING) {
      if (granted && claim != asked) {
        resumption.claims().giveBack(asked);
      }
      return;
    }
    if (granted) {
      claim = asked;
    }
    decide(ResumeRules.claimed(answer, resumption.settings().retry()));
  }

  // ---- Between proxy and server ----------------------------------------------------------------

  @Override
  public String firstLine(long millis, int attempt) {
    return open.rewrite(millis, OURS, "session=" + session + ",epoch=" + epoch(attempt) + ",have=" + toClient);
  }

  /** Each attempt has an epoch of its own: two that were sent to different servers must not both write. */
  private long epoch(int attempt) {
    return fence + Math.min(attempt, ClaimRules.ATTEMPTS - 1);
  }

  @Override
  public boolean takes(String upLine) {
    return !(ResumeRules.up(resumed(upLine), claim != null, acknowledged) instanceof ResumeRules.Broken);
  }

  @Override
  public String up(int attempt, String serverId, String upLine) {
    phase = Phase.UP;
    epoch = epoch(attempt);
    server = serverId;
    long has = resumed(upLine);
    boolean goesOn = claim != null;
    if (goesOn) {
      resumption.claims().settle(claim, epoch);
    }
    if (has < 0 || !goesOn && !entered) {
      resumption.count("off");
      return "RESUME off " + (has < 0 ? "server" : "full") + END;
    }
    fromClient = has;
    acknowledged = Math.max(acknowledged, has);
    resumption.count(goesOn ? "continued" : anew.isEmpty() ? "new" : "anew." + anew);
    String how = goesOn ? "at " + has : anew.isEmpty() ? "new" : "anew " + anew;
    if (!entered) {
      return "RESUME " + how + " -" + END;
    }
    tracked = true;
    resumes = true;
    later();
    return "RESUME " + how + " " + token() + END;
  }

  /** The lines of the client's that the server says it has; -1 where it can't resume. */
  private static long resumed(String upLine) {
    Matcher matcher = RESUMED.matcher(upLine);
    return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
  }

  // ---- Passing on ------------------------------------------------------------------------------

  @Override
  public String fromServer(String line) {
    int space = line.indexOf(' ');
    switch (space < 0 ? line : line.substring(0, space)) {
      case "ACK" -> acknowledge(whole(line.substring(space + 1)));
      case "MOVE" -> {
        return moved ? line + END : move();
      }
      case "LOAD", "BYE" -> { }
      default -> toClient++;
    }
    return line + END;
  }

  private void acknowledge(long count) {
    if (count >= acknowledged && count <= fromClient) {
      acknowledged = count;
    }
  }

  /** Guards against a server that acknowledges nothing: what its client has to keep must not grow without end. */
  @Override
  public void fromClient() {
    fromClient++;
    if (tracked && fromClient - acknowledged > resumption.settings().window() && side.say("RESUME off window")) {
      tracked = false;
      resumption.count("off");
    }
  }

  @Override
  public boolean answers(ServerLine line) {
    return !resumes || !line.isAcknowledgement();
  }

  @Override
  public String move() {
    if (!tracked) {
      return "MOVE" + END;
    }
    moved = true;
    return "MOVE " + token() + END;
  }

  @Override
  public int moveBytes() {
    return TokenCodec.LONGEST + "MOVE ".length() + END.length();
  }

  private void later() {
    side.after(resumption.settings().checkpoint() * MILLI, this::checkpoint);
  }

  /** A new token now and then: from it a connection goes on that its server, or this proxy, cut off without a word. */
  private void checkpoint() {
    if (!tracked || phase != Phase.UP || moved) {
      return;
    }
    boolean stale = toClient != tokenToClient || acknowledged != tokenAcknowledged
        || resumption.now() - tokenAt > resumption.settings().life() / 3;
    if (stale) {
      side.say("TOKEN " + token());
    }
    later();
  }

  private String token() {
    ResumeSettings settings = resumption.settings();
    tokenAt = resumption.now();
    tokenToClient = toClient;
    tokenAcknowledged = acknowledged;
    return resumption.codec().write(new Token(session, epoch, open.value("c"), group, toClient, acknowledged, server,
        tokenAt, tokenAt + settings.life()), resumption.keys().presentKey());
  }

  @Override
  public void over() {
    if (claim != null && phase != Phase.UP) {
      resumption.claims().giveBack(claim);
    }
    phase = Phase.OVER;
    if (entered) {
      entered = false;
      resumption.leave();
    }
  }

  /** A whole number, or -1. */
  private static long whole(String text) {
    return text != null && NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
  }
}
