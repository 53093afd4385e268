package lemondeal.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Ring buffers off the heap, kept for reuse: such memory is returned late by the collector. */
public final class RingBufferPool {
  private final int ringBytes;
  private final ArrayDeque<ByteBuffer> freeBuffers = new ArrayDeque<>();

  public RingBufferPool(int ringBytes) {
    this.ringBytes = ringBytes;
  }

  RingBuffer take() {
    return new RingBuffer(borrow());
  }

  /** The memory alone, to be given back. */
  ByteBuffer borrow() {
    ByteBuffer bytes = freeBuffers.poll();
    return bytes != null ? bytes : ByteBuffer.allocateDirect(ringBytes);
  }

  void giveBack(ByteBuffer bytes) {
    freeBuffers.push(bytes.clear());
  }
}
