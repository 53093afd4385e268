package lemondeal.evacuation;

/** What one proxy sees of a zone from where it stands; told to the others as it is, since they can't see from there. */
public enum Reachability {
  /** Nothing lately, or nobody is there to be asked. */
  UNKNOWN,
  /** Its servers answer. */
  REACHED,
  /** Some servers fail while others answer. */
  PARTLY,
  /** Its servers live and are late or turn work away. */
  LATE,
  /** Independent servers have failed for longer than a blip, and none has said a word since. */
  UNREACHED;

  /** Whether the zone certainly answered: what speaks against its failure. */
  public boolean isResponding() {
    return this == REACHED || this == PARTLY || this == LATE;
  }
}
