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
public final class ClaimStoreServer implements AutoCloseable {

  /** What it does with a call. */
  public enum Mood {
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
  public record Tls(Path certificate, Path key, Path clients) {}

  /** Shared by all replicas of one store, and the lock of each call. */
  private final Map<ByteString, Entry> entries;
  private final Tls tls;
  private final Server server;
  private volatile Mood mood = Mood.ANSWERS;
  private long calls;

  /** A store in plain text. */
  public ClaimStoreServer() throws IOException {
    this(new HashMap<>(), null);
  }

  /** A store that speaks TLS alone. */
  public ClaimStoreServer(Tls tls) throws IOException {
    this(new HashMap<>(), tls);
  }

  private ClaimStoreServer(Map<ByteString, Entry> entries, Tls tls) throws IOException {
    this.entries = entries;
    this.tls = tls;
    NettyServerBuilder builder = NettyServerBuilder.forAddress(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .addService(new Calls());
    if (tls != null) {
      SslContextBuilder context = GrpcSslContexts.forServer(tls.certificate().toFile(), tls.key().toFile());
      if (tls.clients() != null) {
        context.trustManager(tls.clients().toFile()).clientAuth(ClientAuth.REQUIRE);
      }
      builder.sslContext(context.build());
    }
    server = builder.build().start();
  }

  /** Another address of the same store: what one replica wrote, all read. Ends on its own. */
  public ClaimStoreServer replica() throws IOException {
    return new ClaimStoreServer(entries, tls);
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenSockets().get(0);
  }

  public void mood(Mood newMood) {
    mood = newMood;
  }

  public long calls() {
    synchronized (entries) {
      return calls;
    }
  }

  private Entry read(ByteString key) {
    synchronized (entries) {
      calls++;
      return mood == Mood.GRANTS_ALL ? Entry.getDefaultInstance() : entries.getOrDefault(key, Entry.getDefaultInstance());
    }
  }

  private CompareAndSetReply compareAndSet(CompareAndSetRequest request) {
    synchronized (entries) {
      calls++;
      return written(request);
    }
  }

  private CompareAndSetReply written(CompareAndSetRequest request) {
    Entry now = entries.getOrDefault(request.getKey(), Entry.getDefaultInstance());
    boolean written = mood == Mood.GRANTS_ALL || now.getVersion() == request.getExpectedVersion();
    if (written) {
      now = Entry.newBuilder().setVersion(now.getVersion() + 1).setValue(request.getValue()).build();
      entries.put(request.getKey(), now);
    }
    return CompareAndSetReply.newBuilder().setWritten(written).setNow(now).build();
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
  private final class Calls extends ClaimStoreGrpc.ClaimStoreImplBase {
    @Override
    public void read(ReadRequest request, StreamObserver<Entry> caller) {
      answer(caller, ClaimStoreServer.this.read(request.getKey()), false);
    }

    @Override
    public void compareAndSet(CompareAndSetRequest request, StreamObserver<CompareAndSetReply> caller) {
      if (mood != Mood.FAILS && mood != Mood.SILENT) {
        answer(caller, ClaimStoreServer.this.compareAndSet(request), true);
      } else {
        answer(caller, CompareAndSetReply.getDefaultInstance(), true);
      }
    }

    private <T> void answer(StreamObserver<T> caller, T reply, boolean write) {
      if (mood == Mood.FAILS) {
        caller.onError(Status.UNAVAILABLE.asRuntimeException());
      } else if (mood != Mood.SILENT && !(mood == Mood.LOSES_ANSWERS && write)) {
        caller.onNext(reply);
        caller.onCompleted();
      }
    }
  }
}
