package lemondeal.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSinkChannel;

/** The ring buffer of one direction of a connection. */
final class RingBuffer {
  private ByteBuffer bytes;
  private int head;
  private int size;

  RingBuffer(ByteBuffer bytes) {
    this.bytes = bytes;
  }

  /** Returns the memory to the pool; {@link #isEmpty} still shows whether any bytes were left unwritten. */
  void release(RingBufferPool pool) {
    pool.giveBack(bytes);
    bytes = null;
  }

  int free() {
    return bytes.capacity() - size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  /** Copies all of the bytes, which must fit {@link #free}. */
  void put(ByteBuffer source) {
    if (source.remaining() > free()) {
      throw new IllegalStateException("no room for " + source.remaining() + " bytes in " + free());
    }
    while (source.hasRemaining()) {
      int tail = (head + size) % bytes.capacity();
      int chunkLength = Math.min(source.remaining(), bytes.capacity() - tail);
      bytes.limit(tail + chunkLength).position(tail);
      ByteBuffer slice = source.slice().limit(chunkLength);
      bytes.put(slice);
      source.position(source.position() + chunkLength);
      size += chunkLength;
    }
  }

  /** Writes until the buffer is empty or the socket accepts no more. */
  void writeTo(StreamSinkChannel sink) throws IOException {
    while (size > 0) {
      bytes.limit(Math.min(bytes.capacity(), head + size)).position(head);
      int written = sink.write(bytes);
      if (written <= 0) {
        return;
      }
      size -= written;
      head = size == 0 ? 0 : (head + written) % bytes.capacity();
    }
  }
}
