package lemondeal.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lemondeal.operator.KeyFile;
import lemondeal.resume.KeyRing;
import lemondeal.resume.Token;
import lemondeal.resume.TokenCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line as scripts see it: output, error output and exit codes. */
class CommandsTest {
  @TempDir
  Path folder;

  private record Result(int code, String out, String err) {}

  private static Result run(String input, Object... arguments) {
    PrintStream originalOut = System.out;
    PrintStream originalErr = System.err;
    InputStream originalIn = System.in;
    ByteArrayOutputStream capturedOut = new ByteArrayOutputStream();
    ByteArrayOutputStream capturedErr = new ByteArrayOutputStream();
    try {
      System.setOut(new PrintStream(capturedOut, true));
      System.setErr(new PrintStream(capturedErr, true));
      System.setIn(new ByteArrayInputStream(input.getBytes(StandardCharsets.US_ASCII)));
      String[] args = List.of(arguments).stream().map(Object::toString).toArray(String[]::new);
      return new Result(Lemondeal.run(args), capturedOut.toString(), capturedErr.toString());
    } finally {
      System.setOut(originalOut);
      System.setErr(originalErr);
      System.setIn(originalIn);
    }
  }

  @Test
  void usageErrorIsOneLineAndExitCodeTwo() {
    for (Object[] arguments : new Object[][] {{}, {"frobnicate"}, {"serve", "--no-such"}, {"keys"}, {"token"},
        {"check-config", "/no/such/file"}, {"keys", "list", "/no/such/file"}}) {
      Result result = run("", arguments);
      assertEquals(2, result.code(), () -> List.of(arguments) + ": " + result);
      assertEquals(1, result.err().lines().count(), result.err());
      assertTrue(result.err().startsWith("lemondeal: "), result.err());
      assertEquals("", result.out());
    }
  }

  @Test
  void helpVersionAndCompletionWork() {
    assertEquals(0, run("", "--help").code());
    assertTrue(run("", "--help").out().contains("check-config"));
    assertTrue(run("", "--version").out().startsWith("lemondeal "));
    assertTrue(run("", "generate-completion").out().contains("complete "));
  }

  @Test
  void keysAreMadeAndRotatedWithoutShowingSecrets() throws IOException {
    Path file = folder.resolve("keys.yaml");
    assertEquals(0, run("", "keys", "make", file, "--id", "a").code());
    assertEquals(2, run("", "keys", "make", file, "--id", "b").code(), "an existing file is not replaced");
    run("", "keys", "add", file, "--id", "b");
    assertEquals("a", KeyFile.read(file).presentId());
    run("", "keys", "use", file, "b");
    assertEquals(2, run("", "keys", "drop", file, "b").code(), "the present key cannot be dropped");
    run("", "keys", "drop", file, "a");
    for (int i = 0; i < 4; i++) {
      run("", "keys", "rotate", file, "--id", "c" + i);
    }
    KeyRing ring = KeyFile.read(file);
    assertEquals(List.of("c1", "c2", "c3"), ring.keys().stream().map(key -> key.id()).toList());
    Result list = run("", "keys", "list", file);
    assertTrue(list.out().contains("c3  made ") && list.out().contains("  present"), list.out());
    String secret = Files.readString(file).replaceAll("(?s).*secret: \"(.{10}).*", "$1");
    assertFalse(list.out().contains(secret));
  }

  @Test
  void tokenFromStandardInputIsShown() throws IOException {
    Path file = folder.resolve("keys.yaml");
    run("", "keys", "make", file, "--id", "a");
    String text = new TokenCodec().encode(
        new Token("ab".repeat(16), 48, "chat", "", 7, 5, "s-1", 0, 60_000), KeyFile.read(file).presentKey());
    Result shown = run(text + "\n", "token", "--keys", file);
    assertEquals(0, shown.code());
    assertTrue(shown.out().contains("epoch       48") && shown.out().contains("expires     1970-01-01T00:01:00Z"),
        shown.out());
    Result refused = run(text + "x\n", "token", "--keys", file);
    assertEquals(2, refused.code());
    assertTrue(refused.err().contains("token: shape") && !refused.err().contains(text), refused.err());
  }
}
