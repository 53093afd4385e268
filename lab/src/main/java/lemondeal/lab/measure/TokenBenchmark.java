package lemondeal.lab.measure;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemondeal.resume.Key;
import lemondeal.resume.KeyRing;
import lemondeal.resume.Token;
import lemondeal.resume.TokenCodec;
import lemondeal.resume.TokenException;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures creating and verifying tokens on one thread, with the JVM flags of the platform. */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"})
public class TokenBenchmark {
  private final TokenCodec codec = new TokenCodec();
  private final Key key = new Key("k20261201000000", Instant.EPOCH, new byte[Key.SECRET_BYTES]);
  private final KeyRing ring = new KeyRing(key.id(), List.of(key));
  private final Token token = new Token("0123456789abcdef".repeat(2), 48, "order-sync", "0011223344556677", 123_456,
      7890, "s-5be2a07c", 1_700_000_000_000L, 1_700_000_060_000L);
  private final String text = codec.encode(token, key);

  /** Creates a token. */
  @Benchmark
  public String made() {
    return codec.encode(token, key);
  }

  /** Verifies a valid token. */
  @Benchmark
  public Token checked() throws TokenException {
    return codec.decode(text, ring);
  }
}
