package lemondeal.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondeal.config.Limits;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** The event loop: XNIO with one I/O thread, on which everything runs. Opens and accepts links. */
public final class Net {
  private static final int READ_BUFFER_BYTES = 16 * 1024;
  /**
   * Replaces XNIO's pool of task threads, which is not used here. XNIO's own pool starts the JDK's management server,
   * which took a third of the start time.
   */
  private static final ExecutorService UNUSED_TASK_POOL = new ThreadPoolExecutor(0, 1, 1, TimeUnit.SECONDS,
      new LinkedBlockingQueue<>());
  /** Returned for a task that will not run. */
  private static final XnioIoThread.Key NO_OP_KEY = () -> false;
  private static final OptionMap SOCKET_OPTIONS = OptionMap.builder().set(Options.TCP_NODELAY, true).getMap();

  private final Limits limits;
  private final RingBufferPool ringPool;
  private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);
  private final XnioWorker worker;
  private final XnioIoThread thread;
  private final TaskGuard taskGuard;
  private final EvictingSet<Link> lingeringLinks;
  private final LinkPool probeLinks;
  private Timers timers;
  /** Set at shutdown: no more tasks are queued, since the I/O thread would reject them. */
  private volatile boolean shuttingDown;

  public Net(Limits limits, TaskGuard taskGuard) throws IOException {
    this.limits = limits;
    this.taskGuard = taskGuard;
    lingeringLinks = new EvictingSet<>(limits::maxLingering, Link::close);
    probeLinks = new LinkPool(limits.maxProbeLinks());
    ringPool = new RingBufferPool(limits.ringBytes());
    worker = Xnio.getInstance().createWorkerBuilder()
        .setWorkerName("lemondeal")
        .setWorkerIoThreads(1)
        .setDaemon(false)
        .setExternalExecutorService(UNUSED_TASK_POOL)
        .build();
    thread = worker.getIoThread();
  }

  /** Must be called before any connection is opened. */
  public void setTimers(Timers newTimers) {
    timers = newTimers;
  }

  /** Queues the task on the I/O thread, behind the current one. */
  public void execute(Runnable task) {
    if (shuttingDown) {
      return;
    }
    thread.execute(() -> taskGuard.guard(task));
  }

  /** Runs the task on the I/O thread and waits for it. */
  public void runAndWait(Callable<Void> task) throws IOException {
    FutureTask<Void> future = new FutureTask<>(task);
    thread.execute(future);
    try {
      future.get();
    } catch (InterruptedException e) {
      throw new IOException(e);
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e.getCause());
    }
  }

  public XnioIoThread.Key executeAfter(long micros, Runnable task) {
    if (shuttingDown) {
      return NO_OP_KEY;
    }
    return thread.executeAfter(() -> taskGuard.guard(task), micros, TimeUnit.MICROSECONDS);
  }

  /** Creates a listener on this socket, which accepts once it is resumed, up to {@code maxConnections} at a time. */
  public Listener listen(ServerSocketChannel channel, int maxConnections, Consumer<Link> onAccepted)
      throws IOException {
    return new Listener(this, worker, channel, maxConnections, onAccepted);
  }

  /** Opens a connection; exactly one of the two callbacks runs, unless the attempt is cancelled. */
  public Dial dial(InetSocketAddress address, long timeout, Consumer<Link> onConnected, Runnable onFailed) {
    Dial dial = new Dial(this, onConnected, onFailed);
    dial.start(address, timeout);
    return dial;
  }

  /** Limits the links that are kept open for probes. */
  public LinkPool probeLinks() {
    return probeLinks;
  }

  /** Logs a warning about something invalid that a peer did. */
  public void warn(String text) {
    taskGuard.report(text);
  }

  /** Stops the threads and closes whatever is still open. */
  public void shutdown() {
    shuttingDown = true;
    worker.shutdownNow();
  }

  /** Waits until the threads have ended, at most this long. */
  public void awaitShutdown(long millis) throws InterruptedException {
    worker.awaitTermination(millis, TimeUnit.MILLISECONDS);
  }

  IoFuture<StreamConnection> open(InetSocketAddress address) {
    return thread.openStreamConnection(address, null, SOCKET_OPTIONS);
  }

  TaskGuard taskGuard() {
    return taskGuard;
  }

  EvictingSet<Link> lingeringLinks() {
    return lingeringLinks;
  }

  RingBufferPool ringPool() {
    return ringPool;
  }

  Timers timers() {
    return timers;
  }

  Limits limits() {
    return limits;
  }

  /** The buffer that all links read into; its bytes must be consumed before the next read. */
  ByteBuffer readBuffer(int maxBytes) {
    return readBuffer.clear().limit(Math.min(maxBytes, READ_BUFFER_BYTES));
  }
}
