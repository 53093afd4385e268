package lemondeal;

/** Prints a line for each SIGHUP, with a count, until standard input ends. */
final class HangupEcho {
  static final String READY = "ready";
  static final String RECEIVED = "received ";
  private static int count;

  private HangupEcho() {}

  public static void main(String[] args) throws Exception {
    Signals.onHangup(() -> System.out.println(RECEIVED + count++));
    System.out.println(READY);
    System.in.read();
  }
}
