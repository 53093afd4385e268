package lemondeal.lab.emulator.policy;

import java.nio.charset.StandardCharsets;
import org.apache.commons.codec.digest.MurmurHash3;

/** Hashes of names and keys for the baselines: MurmurHash3 of the text, and a finalizer that combines two hashes. */
final class Hashes {
  private Hashes() {}

  static long of(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
  }

  /** Combines two hashes so that every input bit affects every output bit (the finalizer of MurmurHash3). */
  static long combine(long first, long second) {
    long mixed = first ^ Long.rotateLeft(second, 32) * 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /** Maps a hash to a number strictly between 0 and 1. */
  static double toUnitInterval(long hash) {
    return ((hash >>> 12) + 0.5) * 0x1.0p-52;
  }
}
