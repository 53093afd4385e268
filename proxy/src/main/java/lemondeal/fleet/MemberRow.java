package lemondeal.fleet;

import java.util.Arrays;

/**
 * One row of the table that the proxies of a fleet share, as it was sent. Its content is opaque here; see
 * {@link Sections}.
 *
 * @param owner the proxy that wrote it
 * @param incarnation increases with each start of the owner
 * @param sequence increases within an incarnation
 * @param ageMillis milliseconds from its creation until it left its owner
 */
public record MemberRow(String owner, long incarnation, long sequence, long ageMillis, byte[] content) {
  /** Limit on the content: with 200 owners a table takes 6.4 MB at most. */
  public static final int MAX_CONTENT_BYTES = 32 * 1024;

  /** Orders the rows of one owner by incarnation and sequence. */
  int compareVersion(MemberRow other) {
    int byIncarnation = Long.compare(incarnation, other.incarnation);
    return byIncarnation != 0 ? byIncarnation : Long.compare(sequence, other.sequence);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MemberRow row && owner.equals(row.owner) && compareVersion(row) == 0
        && ageMillis == row.ageMillis && Arrays.equals(content, row.content);
  }

  @Override
  public int hashCode() {
    return 31 * owner.hashCode() + Long.hashCode(incarnation) + Long.hashCode(sequence);
  }
}
