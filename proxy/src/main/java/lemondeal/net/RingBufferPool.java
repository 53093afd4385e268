package lemondeal.net;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/** Pool of off-heap ring buffers: the garbage collector frees direct memory late. */
public final class RingBufferPool {
  private final int ringBytes;
  private final ArrayDeque<ByteBuffer> freeBuffers = new ArrayDeque<>();

  public RingBufferPool(int ringBytes) {
    this.ringBytes = ringBytes;
  }

  RingBuffer allocate() {
    return new RingBuffer(borrow());
  }

  /** Plain memory from the pool, to be returned with {@link #giveBack}. */
  ByteBuffer borrow() {
    ByteBuffer bytes = freeBuffers.poll();
    return bytes != null ? bytes : ByteBuffer.allocateDirect(ringBytes);
  }

  void giveBack(ByteBuffer bytes) {
    freeBuffers.push(bytes.clear());
  }
}
