package lemondeal.module;

/** Hashes and scores of weighted rendezvous hashing: the same at every node, without shared state. */
final class Rendezvous {
  private Rendezvous() {}

  /** FNV-1a over the characters, then a finalizer, so that similar ids get unrelated hashes. */
  static long hash(String text) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      h = (h ^ text.charAt(i)) * 0x100000001b3L;
    }
    return mix(h);
  }

  /** The finalizer of SplitMix64: every input bit reaches every output bit. */
  static long mix(long h) {
    h = (h ^ (h >>> 30)) * 0xbf58476d1ce4e5b9L;
    h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
    return h ^ (h >>> 31);
  }

  /** Maps a hash to the open interval (0, 1), so that its logarithm is finite and not 0. Uses 52 bits: with
   * 53 bits the largest hash would round to 1. */
  static double toUnitInterval(long h) {
    return ((h >>> 12) + 0.5) * 0x1.0p-52;
  }

  /** The score of the design, -w / log(Hash(O, S) / Hmax). */
  static double score(long keyHash, long serverHash, double weight) {
    return -weight / StrictMath.log(toUnitInterval(mix(keyHash ^ serverHash)));
  }
}
