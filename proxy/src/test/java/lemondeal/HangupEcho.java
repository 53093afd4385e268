package lemondeal;

/** A program that counts the SIGHUPs that it hears on standard output, until standard input ends. */
final class HangupEcho {
  static final String READY = "ready";
  static final String RECEIVED = "heard ";
  private static int count;

  private HangupEcho() {}

  public static void main(String[] args) throws Exception {
    Signals.onHangup(() -> System.out.println(RECEIVED + count++));
    System.out.println(READY);
    System.in.read();
  }
}
