package lemondeal.proxy;

/** Why a client's connection got its final line from this process, or ended without one. Each reason has a counter. */
enum EndReason {
  /** The module throttled the request. */
  REFUSED_BY_MODULE("refused-by-module"),
  /** The module failed the request. */
  FAILED_BY_MODULE("failed-by-module"),
  /** The module refused a request that may have run; it was failed instead. */
  REFUSAL_WITHHELD("refusal-withheld"),
  /** The client's deadline passed and the module had not decided. */
  OVERDUE("overdue"),
  /** A session claim or a resumed session refused or failed the request. */
  REFUSED_BY_SESSION("refused-by-session"),
  /** A connection that was open before did not come up again at its server. */
  NOT_ADOPTED("not-adopted"),
  /** The server served the request completely without establishing a connection. */
  SERVED_AT_ONCE("served-at-once"),
  /** The client sent more input, or ended its sending, before its answer. */
  CLIENT_DID_NOT_WAIT("client-did-not-wait"),
  /** The client reset its connection before its answer. */
  CLIENT_GONE("client-gone"),
  /** No slot was free for another request. */
  NO_ROOM("no-room"),
  /** This process is shutting down. */
  STOPPING("stopping"),
  /** The first line was unusable. */
  BAD_FIRST_LINE("bad-first-line"),
  /** Another request had the id, here or at another process that accepts from the same listening socket. */
  ID_IN_USE("id-in-use"),
  /** No first line arrived in time. */
  RESTED("rested"),
  /** Newer connections needed the place of a connection without a first line. */
  EVICTED("evicted"),
  /** The client ended the connection before its first line. */
  ENDED_BEFORE_LINE("ended-before-line"),
  /** The module moved the connection. */
  MOVED_BY_MODULE("moved-by-module"),
  /** Too many servers were held in memory for replaced settings, and these were the oldest; the client was moved. */
  SETTINGS_REPLACED("settings-replaced"),
  /** The server left a line unanswered for too long; the client was moved. */
  SERVER_SILENT("server-silent"),
  /** The server sent what can't be parsed; the client was moved. */
  SERVER_UNREADABLE("server-unreadable"),
  /** The server ended the connection cleanly. */
  SERVER_ENDED("server-ended"),
  /** The server's connection broke. */
  SERVER_RESET("server-reset"),
  /** The client ended the connection cleanly. */
  CLIENT_ENDED("client-ended"),
  /** The client's connection broke. */
  CLIENT_RESET("client-reset"),
  /** The client sent a line that is too long. */
  CLIENT_UNREADABLE("client-unreadable");

  /** The counter's name after {@code ended.}. */
  final String label;

  EndReason(String label) {
    this.label = label;
  }
}
