package lemondeal.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Ring buffers off the heap, kept for reuse: such memory is returned late by the collector. */
public final class RingPool {
  private final int ringBytes;
  private final ArrayDeque<ByteBuffer> spare = new ArrayDeque<>();

  public RingPool(int ringBytes) {
    this.ringBytes = ringBytes;
  }

  Ring take() {
    return new Ring(borrow());
  }

  /** The memory alone, to be given back. */
  ByteBuffer borrow() {
    ByteBuffer bytes = spare.poll();
    return bytes != null ? bytes : ByteBuffer.allocateDirect(ringBytes);
  }

  void giveBack(ByteBuffer bytes) {
    spare.push(bytes.clear());
  }
}
