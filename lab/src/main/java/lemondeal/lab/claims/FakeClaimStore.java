package lemondeal.lab.claims;

import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.ClientAuth;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemondeal.claims.wire.ClaimStoreGrpc;
import lemondeal.claims.wire.CompareAndSetReply;
import lemondeal.claims.wire.CompareAndSetRequest;
import lemondeal.claims.wire.Entry;
import lemondeal.claims.wire.ReadRequest;

/** A stand-in for the store of claims that operators run: compare-and-set in memory behind the project's protocol. */
public final class FakeClaimStore implements AutoCloseable {

  /** What it does with a call. */
  public enum ResponseMode {
    ANSWERS,
    /** Says nothing. */
    SILENT,
    /** Fails each call. */
    FAILS,
    /** Writes, and its answer gets lost. */
    LOSES_ANSWERS,
    /** Says that all is free and grants all: for showing that the checker finds out. */
    GRANTS_ALL
  }

  /**
   * How it speaks TLS.
   *
   * @param certificate its certificate chain, PEM
   * @param key its private key, PKCS#8 PEM
   * @param clients the authority that clients' certificates are checked against; null where none is asked for
   */
  public record Tls(Path certificate, Path key, Path clientAuthority) {}

  /** Shared by all replicas of one store, and the lock of each call. */
  private final Map<ByteString, Entry> entries;
  private final Tls tls;
  private final Server server;
  private volatile ResponseMode responseMode = ResponseMode.ANSWERS;
  private long callCount;

  /** A store in plain text. */
  public FakeClaimStore() throws IOException {
    this(new HashMap<>(), null);
  }

  /** A store that speaks TLS alone. */
  public FakeClaimStore(Tls tls) throws IOException {
    this(new HashMap<>(), tls);
  }

  private FakeClaimStore(Map<ByteString, Entry> entries, Tls tls) throws IOException {
    this.entries = entries;
    this.tls = tls;
    NettyServerBuilder builder = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .addService(new ClaimStoreService());
    if (tls != null) {
      SslContextBuilder context = GrpcSslContexts.forServer(tls.certificate().toFile(), tls.key().toFile());
      if (tls.clientAuthority() != null) {
        context.trustManager(tls.clientAuthority().toFile()).clientAuth(ClientAuth.REQUIRE);
      }
      builder.sslContext(context.build());
    }
    server = builder.build().start();
  }

  /** Another address of the same store: what one replica wrote, all read. Ends on its own. */
  public FakeClaimStore replica() throws IOException {
    return new FakeClaimStore(entries, tls);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenSockets().get(0);
  }

  public void setResponseMode(ResponseMode newMode) {
    responseMode = newMode;
  }

  public long callCount() {
    synchronized (entries) {
      return callCount;
    }
  }

  private Entry read(ByteString key) {
    synchronized (entries) {
      callCount++;
      return responseMode == ResponseMode.GRANTS_ALL ? Entry.getDefaultInstance() : entries.getOrDefault(key, Entry.getDefaultInstance());
    }
  }

  private CompareAndSetReply compareAndSet(CompareAndSetRequest request) {
    synchronized (entries) {
      callCount++;
      return applyCompareAndSet(request);
    }
  }

  private CompareAndSetReply applyCompareAndSet(CompareAndSetRequest request) {
    Entry current = entries.getOrDefault(request.getKey(), Entry.getDefaultInstance());
    boolean written = responseMode == ResponseMode.GRANTS_ALL || current.getVersion() == request.getExpectedVersion();
    if (written) {
      current = Entry.newBuilder().setVersion(current.getVersion() + 1).setValue(request.getValue()).build();
      entries.put(request.getKey(), current);
    }
    return CompareAndSetReply.newBuilder().setWritten(written).setNow(current).build();
  }

  @Override
  public void close() {
    server.shutdownNow();
    try {
      server.awaitTermination(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The calls of the protocol. */
  private final class ClaimStoreService extends ClaimStoreGrpc.ClaimStoreImplBase {
    @Override
    public void read(ReadRequest request, StreamObserver<Entry> observer) {
      respond(observer, FakeClaimStore.this.read(request.getKey()), false);
    }

    @Override
    public void compareAndSet(CompareAndSetRequest request, StreamObserver<CompareAndSetReply> observer) {
      if (responseMode != ResponseMode.FAILS && responseMode != ResponseMode.SILENT) {
        respond(observer, FakeClaimStore.this.compareAndSet(request), true);
      } else {
        respond(observer, CompareAndSetReply.getDefaultInstance(), true);
      }
    }

    private <T> void respond(StreamObserver<T> observer, T reply, boolean write) {
      if (responseMode == ResponseMode.FAILS) {
        observer.onError(Status.UNAVAILABLE.asRuntimeException());
      } else if (responseMode != ResponseMode.SILENT && !(responseMode == ResponseMode.LOSES_ANSWERS && write)) {
        observer.onNext(reply);
        observer.onCompleted();
      }
    }
  }
}
