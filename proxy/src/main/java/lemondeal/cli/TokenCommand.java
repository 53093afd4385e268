package lemondeal.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.Callable;
import lemondeal.operator.KeyFile;
import lemondeal.resume.Token;
import lemondeal.resume.TokenCodec;
import lemondeal.resume.TokenException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code token}: shows the content of a token. Reads it from standard input, since all users can see arguments. */
@Command(name = "token", mixinStandardHelpOptions = true,
    description = "Check the resume token on standard input and show its content.")
final class TokenCommand implements Callable<Integer> {
  @Option(names = "--keys", required = true, paramLabel = "FILE", description = "The key file.")
  private Path keys;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws IOException {
    BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
    String line = in.readLine();
    PrintWriter out = spec.commandLine().getOut();
    try {
      Token token = new TokenCodec().decode(line == null ? "" : line.trim(), KeyFile.read(keys));
      out.println("session     " + token.session());
      out.println("epoch       " + token.epoch());
      out.println("class       " + token.className());
      out.println("group       " + (token.groupDigest().isEmpty() ? "none" : "digest " + token.groupDigest()));
      out.println("to client   " + token.linesToClient() + " lines");
      out.println("from client " + token.acknowledgedLines() + " lines acknowledged");
      out.println("server      " + token.server());
      out.println("issued      " + Instant.ofEpochMilli(token.issuedAt()));
      out.println("expires     " + Instant.ofEpochMilli(token.expiresAt()));
      return CommandLine.ExitCode.OK;
    } catch (TokenException e) {
      spec.commandLine().getErr().println("lemondeal: standard input: " + e.getMessage()
          + "; allowed: a token signed with a key of " + keys);
      return CommandLine.ExitCode.USAGE;
    }
  }
}
