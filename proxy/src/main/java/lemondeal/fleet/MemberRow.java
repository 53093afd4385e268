package lemondeal.fleet;

import java.util.Arrays;

/**
 * One row of the table that the proxies of a fleet share, as it was told. Its content is opaque here: {@link Sections}.
 *
 * @param owner the proxy that wrote it
 * @param incarnation new, and greater, with each start of the owner
 * @param sequence grows within an incarnation
 * @param ageMillis milliseconds from its making to its leaving the owner
 */
public record MemberRow(String owner, long incarnation, long sequence, long ageMillis, byte[] content) {
  /** Content beyond this is not shared: with 200 owners a table takes 6.4 MB at most. */
  public static final int MAX_CONTENT_BYTES = 32 * 1024;

  /** The order in time of one owner's rows. */
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
