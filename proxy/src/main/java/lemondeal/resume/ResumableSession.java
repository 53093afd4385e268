package lemondeal.resume;

import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lemondeal.claims.Claim;
import lemondeal.claims.ClaimAnswer;
import lemondeal.claims.ClaimRules;
import lemondeal.codec.OpenLine;
import lemondeal.codec.ServerLine;
import lemondeal.resume.ResumeRules.Decision;

/**
 * One connection of a resumable session. Counts the lines in each direction, issues tokens to the client, and claims
 * the session before the connection continues it. docs/RESUME-WIRE.md specifies the protocol.
 */
final class ResumableSession implements SessionContinuity {
  private static final long MICROS_PER_MILLI = 1000;
  private static final String CRLF = "\r\n";
  private static final Set<String> PROXY_KEYS = Set.of("resume", "token", "got", "session", "epoch", "have");
  private static final Pattern RESUMED_PATTERN = Pattern.compile("UP [^ ]+ resumed=([0-9]{1,18})");
  private static final Pattern NUMBER_PATTERN = Pattern.compile("[0-9]{1,18}");

  private enum Phase { WAITING, CLAIMING, ADMITTED, UP, ENDED }

  private final ResumptionContext resumption;
  private final OpenLine openLine;
  private final String groupDigest;
  private ClientConnection client;
  private Phase phase = Phase.WAITING;
  /** The session and its progress. */
  private String session;
  private long fence = ClaimRules.FIRST_EPOCH;
  private long epoch;
  private long linesToClient;
  private long linesFromClient;
  private long acknowledgedLines;
  private String server = "";
  /** Why the client must start a new session in place of its token's; empty if it need not. */
  private String newSessionReason = "";
  private Claim claim;
  /** Whether this connection holds one of the limited permits for resumable connections. */
  private boolean hasPermit;
  /** Whether the connection can be resumed now. */
  private boolean resumable;
  /** Stays true once the connection could be resumed: its server may still send ACK lines, which are not replies. */
  private boolean everResumable;
  private boolean moveSent;
  private long lastTokenAt;
  private long lastTokenLinesToClient;
  private long lastTokenAcknowledgedLines;

  ResumableSession(ResumptionContext resumption, OpenLine openLine) {
    this.resumption = resumption;
    this.openLine = openLine;
    groupDigest = resumption.codec().groupDigest(openLine.value("g"));
  }

  // ---- Before the request reaches the decision module -----------------------------------------

  @Override
  public void begin(ClientConnection connection) {
    client = connection;
    String tokenText = openLine.value("token");
    if (tokenText == null) {
      startNewSession();
      return;
    }
    carryOut(checkToken(tokenText));
  }

  private Decision checkToken(String tokenText) {
    try {
      Token token = resumption.codec().decode(tokenText, resumption.keys());
      return ResumeRules.checkToken(token, openLine.value("c"), groupDigest, parseCount(openLine.value("got")),
          resumption.now(), resumption.settings().clockSkewMillis());
    } catch (TokenException e) {
      return ResumeRules.rejectToken(e.fault());
    }
  }

  private void carryOut(Decision decision) {
    if (decision instanceof ResumeRules.ClaimFirst claimFirst) {
      claimSession(claimFirst);
    } else if (decision instanceof ResumeRules.Proceed proceed) {
      fence = proceed.fence();
      admit();
    } else if (decision instanceof ResumeRules.NewSession newSession) {
      newSessionReason = newSession.reason();
      startNewSession();
    } else if (decision instanceof ResumeRules.Busy busy) {
      resumption.count("busy");
      phase = Phase.ENDED;
      client.throttle(Math.max(1, busy.retryAfterMillis()) * MICROS_PER_MILLI);
    } else if (decision instanceof ResumeRules.Fail fail) {
      resumption.count("refused." + fail.reason());
      phase = Phase.ENDED;
      client.fail("ERR " + fail.reason());
    }
  }

  private void startNewSession() {
    session = resumption.newSessionId();
    admit();
  }

  private void admit() {
    phase = Phase.ADMITTED;
    hasPermit = resumption.tryAcquirePermit();
    client.admit();
  }

  private void claimSession(ResumeRules.ClaimFirst claimFirst) {
    Token token = claimFirst.token();
    ResumeSettings settings = resumption.settings();
    session = token.session();
    linesToClient = claimFirst.linesAtClient();
    acknowledgedLines = token.acknowledgedLines();
    phase = Phase.CLAIMING;
    Claim request = new Claim(session, token.epoch(), resumption.newHolderId(), settings.claimLeaseMillis(),
        resumption.now() + settings.tokenLifetimeMillis() + settings.claimLeaseMillis()
            + 2 * settings.clockSkewMillis());
    client.schedule(settings.claimTimeoutMillis() * MICROS_PER_MILLI,
        () -> onClaimAnswer(request, new ClaimAnswer.Unknown("silent")));
    resumption.claims().claim(request, answer -> client.runOnEventLoop(() -> onClaimAnswer(request, answer)));
  }

  /**
   * The store's answer, or its timeout. A claim granted after the client has disconnected or was throttled is released.
   */
  private void onClaimAnswer(Claim request, ClaimAnswer answer) {
    boolean granted = answer instanceof ClaimAnswer.Granted;
    if (phase != Phase.CLAIMING) {
      if (granted && claim != request) {
        resumption.claims().release(request);
      }
      return;
    }
    if (granted) {
      claim = request;
    }
    carryOut(ResumeRules.onClaimAnswer(answer, resumption.settings().retryMillis()));
  }

  // ---- Between proxy and server ----------------------------------------------------------------

  @Override
  public String firstLine(long remainingMillis, int attempt) {
    return openLine.rewrite(remainingMillis, PROXY_KEYS,
        "session=" + session + ",epoch=" + epochOf(attempt) + ",have=" + linesToClient);
  }

  /** Each attempt has a distinct epoch: of two attempts at different servers, only one may write. */
  private long epochOf(int attempt) {
    return fence + Math.min(attempt, ClaimRules.EPOCHS_PER_GRANT - 1);
  }

  @Override
  public boolean acceptsUp(String upLine) {
    return !(ResumeRules.checkUp(linesAtServer(upLine), claim != null, acknowledgedLines)
        instanceof ResumeRules.InconsistentServer);
  }

  @Override
  public String onUp(int attempt, String serverId, String upLine) {
    phase = Phase.UP;
    epoch = epochOf(attempt);
    server = serverId;
    long receivedLines = linesAtServer(upLine);
    boolean resuming = claim != null;
    if (resuming) {
      resumption.claims().commit(claim, epoch);
    }
    if (receivedLines < 0 || !resuming && !hasPermit) {
      resumption.count("off");
      return "RESUME off " + (receivedLines < 0 ? "server" : "full") + CRLF;
    }
    linesFromClient = receivedLines;
    acknowledgedLines = Math.max(acknowledgedLines, receivedLines);
    resumption.count(resuming ? "continued" : newSessionReason.isEmpty() ? "new" : "anew." + newSessionReason);
    String outcome = resuming ? "at " + receivedLines : newSessionReason.isEmpty() ? "new" : "anew " + newSessionReason;
    if (!hasPermit) {
      return "RESUME " + outcome + " -" + CRLF;
    }
    resumable = true;
    everResumable = true;
    scheduleCheckpoint();
    return "RESUME " + outcome + " " + newToken() + CRLF;
  }

  /** How many of the client's lines the server reports to have; -1 if it can't resume. */
  private static long linesAtServer(String upLine) {
    Matcher matcher = RESUMED_PATTERN.matcher(upLine);
    return matcher.matches() ? Long.parseLong(matcher.group(1)) : -1;
  }

  // ---- Forwarding ------------------------------------------------------------------------------

  @Override
  public String rewriteServerLine(String line) {
    int space = line.indexOf(' ');
    switch (space < 0 ? line : line.substring(0, space)) {
      case "ACK" -> acknowledge(parseCount(line.substring(space + 1)));
      case "MOVE" -> {
        return moveSent ? line + CRLF : moveLine();
      }
      case "LOAD", "BYE" -> { }
      default -> linesToClient++;
    }
    return line + CRLF;
  }

  private void acknowledge(long count) {
    if (count >= acknowledgedLines && count <= linesFromClient) {
      acknowledgedLines = count;
    }
  }

  /** Stops offering to resume if the server does not acknowledge lines, since the client must keep all of them. */
  @Override
  public void onClientLine() {
    linesFromClient++;
    if (resumable && linesFromClient - acknowledgedLines > resumption.settings().maxUnacknowledgedLines()
        && client.sendLine("RESUME off window")) {
      resumable = false;
      resumption.count("off");
    }
  }

  @Override
  public boolean mayBeReply(ServerLine line) {
    return !everResumable || !line.isAcknowledgement();
  }

  @Override
  public String moveLine() {
    if (!resumable) {
      return "MOVE" + CRLF;
    }
    moveSent = true;
    return "MOVE " + newToken() + CRLF;
  }

  @Override
  public int maxMoveBytes() {
    return TokenCodec.MAX_LENGTH + "MOVE ".length() + CRLF.length();
  }

  private void scheduleCheckpoint() {
    client.schedule(resumption.settings().checkpointMillis() * MICROS_PER_MILLI, this::checkpoint);
  }

  /** Sends a new token periodically, from which the session can be resumed if the server or this proxy fails. */
  private void checkpoint() {
    if (!resumable || phase != Phase.UP || moveSent) {
      return;
    }
    boolean tokenOutdated = linesToClient != lastTokenLinesToClient || acknowledgedLines != lastTokenAcknowledgedLines
        || resumption.now() - lastTokenAt > resumption.settings().tokenLifetimeMillis() / 3;
    if (tokenOutdated) {
      client.sendLine("TOKEN " + newToken());
    }
    scheduleCheckpoint();
  }

  private String newToken() {
    ResumeSettings settings = resumption.settings();
    lastTokenAt = resumption.now();
    lastTokenLinesToClient = linesToClient;
    lastTokenAcknowledgedLines = acknowledgedLines;
    return resumption.codec().encode(new Token(session, epoch, openLine.value("c"), groupDigest, linesToClient,
        acknowledgedLines, server, lastTokenAt, lastTokenAt + settings.tokenLifetimeMillis()),
        resumption.keys().presentKey());
  }

  @Override
  public void onEnd() {
    if (claim != null && phase != Phase.UP) {
      resumption.claims().release(claim);
    }
    phase = Phase.ENDED;
    if (hasPermit) {
      hasPermit = false;
      resumption.releasePermit();
    }
  }

  /** Parses a non-negative whole number; returns -1 if the text is none. */
  private static long parseCount(String text) {
    return text != null && NUMBER_PATTERN.matcher(text).matches() ? Long.parseLong(text) : -1;
  }
}
