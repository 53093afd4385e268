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

/** A fake of the claim store that operators run: compare-and-set in memory behind the project's gRPC protocol. */
public final class FakeClaimStore implements AutoCloseable {

  /** How calls are answered. */
  public enum ResponseMode {
    ANSWERS,
    /** Leaves calls unanswered. */
    SILENT,
    /** Fails calls with UNAVAILABLE. */
    FAILS,
    /** Performs writes and drops their answers. */
    LOSES_ANSWERS,
    /** Reports every key as free and accepts every write, to show that ResumeChecker detects the double attempts. */
    GRANTS_ALL
  }

  /**
   * TLS settings.
   *
   * @param certificate the server's certificate chain, PEM
   * @param key the server's private key, PKCS#8 PEM
   * @param clientAuthority authority that client certificates are verified against; null requires no client certificate
   */
  public record Tls(Path certificate, Path key, Path clientAuthority) {}

  /** Shared by all replicas of a store; also the lock that serializes calls. */
  private final Map<ByteString, Entry> entries;
  private final Tls tls;
  private final Server server;
  private volatile ResponseMode responseMode = ResponseMode.ANSWERS;
  private long callCount;

  /** Starts a store without TLS. */
  public FakeClaimStore() throws IOException {
    this(new HashMap<>(), null);
  }

  /** Starts a store that accepts only TLS. */
  public FakeClaimStore(Tls tls) throws IOException {
    this(new HashMap<>(), tls);
  }

  private FakeClaimStore(Map<ByteString, Entry> entries, Tls tls) throws IOException {
    this.entries = entries;
    this.tls = tls;
    NettyServerBuilder builder = NettyServerBuilder
        .forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
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

  /** Starts a replica with the same data at another address. Closed separately. */
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
      return responseMode == ResponseMode.GRANTS_ALL ? Entry.getDefaultInstance()
          : entries.getOrDefault(key, Entry.getDefaultInstance());
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

  /** The gRPC service. */
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
