package lemondeal.lab.emulator;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * All random numbers of a run: one independent stream for each purpose, seeded with the run's seed and the purpose's
 * name. A change in one part of the emulator does not shift the random numbers of the others, so that runs with one
 * seed stay comparable. Generators and distributions are those of Commons RNG.
 */
public final class RandomStreams {
  private final long seed;
  private final Map<String, UniformRandomProvider> streams = new HashMap<>();

  public RandomStreams(long seed) {
    this.seed = seed;
  }

  /** The stream for this purpose; the same object on each call. */
  public UniformRandomProvider stream(String purpose) {
    return streams.computeIfAbsent(purpose, this::createGenerator);
  }

  private UniformRandomProvider createGenerator(String purpose) {
    CRC32C checksum = new CRC32C();
    checksum.update(purpose.getBytes(StandardCharsets.UTF_8));
    long streamSeed = seed * 0x9e3779b97f4a7c15L + checksum.getValue() * 0xbf58476d1ce4e5b9L + purpose.length();
    return RandomSource.XO_RO_SHI_RO_128_PP.create(streamSeed);
  }

  /** Exponentially distributed values of mean 1: gaps of a Poisson process, memoryless lifetimes. */
  public ContinuousSampler exponential(String purpose) {
    return ZigguratSampler.Exponential.of(stream(purpose));
  }

  /** Log-normally distributed values with this mean; with a sigma of 0 every value is the mean. */
  public ContinuousSampler logNormal(String purpose, double mean, double sigma) {
    ZigguratSampler.NormalizedGaussian gaussian = ZigguratSampler.NormalizedGaussian.of(stream(purpose));
    double shift = Math.log(mean) - sigma * sigma / 2;
    return () -> StrictMath.exp(shift + sigma * gaussian.sample());
  }

  /** Zipf-distributed indices from 0 to {@code count} - 1, 0 the most frequent; uniform for an exponent of 0. */
  public java.util.function.IntSupplier zipf(String purpose, int count, double exponent) {
    if (exponent <= 0) {
      UniformRandomProvider stream = stream(purpose);
      return () -> stream.nextInt(count);
    }
    var sampler = RejectionInversionZipfSampler.of(stream(purpose), count, exponent);
    return () -> sampler.sample() - 1;
  }

  /** Indices into the weights, each drawn in proportion to its weight. */
  public java.util.function.IntSupplier weighted(String purpose, double[] weights) {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double[] cumulative = new double[weights.length];
    double sum = 0;
    for (int i = 0; i < weights.length; i++) {
      sum += weights[i] / total;
      cumulative[i] = i == weights.length - 1 ? 1 : sum;
    }
    UniformRandomProvider stream = stream(purpose);
    return () -> {
      double value = stream.nextDouble();
      int index = 0;
      while (cumulative[index] < value) {
        index++;
      }
      return index;
    };
  }
}
