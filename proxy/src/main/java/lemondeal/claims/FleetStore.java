package lemondeal.claims;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContextBuilder;
import io.grpc.stub.StreamObserver;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import javax.net.ssl.SSLException;
import lemondeal.claims.wire.ClaimStoreGrpc;
import lemondeal.claims.wire.CompareAndSetReply;
import lemondeal.claims.wire.CompareAndSetRequest;
import lemondeal.claims.wire.Entry;
import lemondeal.claims.wire.ReadRequest;
import lemondeal.config.Addresses;
import lemondeal.config.TlsFiles;
import lemondeal.log.EventLog;

/**
 * A store shared by the whole fleet: a gRPC service that the operators run, specified in {@code claims.proto}. Each
 * call has a deadline; if the store is unreachable, the call fails immediately. Callbacks run on gRPC's threads.
 */
public final class FleetStore implements CasStore {
  private static final long CLOSE_TIMEOUT_SECONDS = 1;
  private static final long WARM_UP_TIMEOUT_MILLIS = 3000;
  private static final int KEY_BYTES = 16;

  private final List<InetSocketAddress> addresses;
  private final long callTimeoutMillis;
  private final EventLog log;
  /** Replaced when the certificates are reloaded; calls on the previous channel run to their end. */
  private volatile ManagedChannel channel;
  private volatile ClaimStoreGrpc.ClaimStoreStub stub;

  private FleetStore(List<InetSocketAddress> addresses, long callTimeoutMillis, EventLog log) {
    this.addresses = List.copyOf(addresses);
    this.callTimeoutMillis = callTimeoutMillis;
    this.log = log;
  }

  /**
   * Connects, and reconnects when needed, to the first address that answers, in the order given. Warms up the channel,
   * as gRPC's first call takes half a second, during which every claim of the first clients timed out. If the store is
   * unreachable at the start, that is logged and the proxy serves without it.
   *
   * @param addresses the addresses of one store, tried in turn
   * @param tls null for plain text
   * @param callTimeoutMillis deadline of each call
   * @throws IOException if a file of {@code tls} can't be read or used
   */
  public static FleetStore open(List<InetSocketAddress> addresses, TlsFiles tls, long callTimeoutMillis, EventLog log)
      throws IOException {
    FleetStore store = new FleetStore(addresses, callTimeoutMillis, log);
    store.switchChannel(store.buildChannel(tls));
    store.warmUp();
    return store;
  }

  /**
   * Reloads the certificates, on SIGHUP. New calls use a new channel; calls in flight end on the previous one.
   *
   * @throws IOException if a file can't be read or used; the previous channel stays in use
   */
  public void reload(TlsFiles tls) throws IOException {
    ManagedChannel previous = channel;
    switchChannel(buildChannel(tls));
    previous.shutdown();
  }

  private ManagedChannel buildChannel(TlsFiles tls) throws IOException {
    String firstAddress = Addresses.format(addresses.get(0));
    String authority = tls != null && tls.name() != null ? tls.name() : firstAddress;
    @SuppressWarnings("deprecation") // The only way to set a resolver for one channel; others register it globally.
    NettyChannelBuilder builder = NettyChannelBuilder
        .forTarget(StaticAddressResolverFactory.SCHEME + ":///" + firstAddress)
        .nameResolverFactory(new StaticAddressResolverFactory(addresses, authority))
        .keepAliveTime(10, TimeUnit.SECONDS);
    if (tls == null) {
      builder.usePlaintext();
    } else {
      builder.sslContext(sslContext(tls));
    }
    return builder.build();
  }

  private static SslContext sslContext(TlsFiles tls) throws IOException {
    try {
      SslContextBuilder builder = GrpcSslContexts.forClient().trustManager(tls.authority().toFile());
      if (tls.certificate() != null) {
        builder.keyManager(tls.certificate().toFile(), tls.key().toFile());
      }
      return builder.build();
    } catch (IllegalArgumentException | SSLException e) {
      throw new IOException("cannot set up TLS for the claim store: " + e.getMessage(), e);
    }
  }

  private void switchChannel(ManagedChannel newChannel) {
    channel = newChannel;
    stub = ClaimStoreGrpc.newStub(newChannel);
  }

  /** Makes the first calls, which are slow, before any client depends on one. */
  private void warmUp() {
    try {
      ClaimStoreGrpc.ClaimStoreBlockingStub blockingStub = ClaimStoreGrpc.newBlockingStub(channel)
          .withDeadlineAfter(WARM_UP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      ByteString unusedKey = ByteString.copyFrom(new byte[KEY_BYTES]);
      blockingStub.read(ReadRequest.newBuilder().setKey(unusedKey).build());
      // Writes nothing: no key has that version.
      blockingStub.compareAndSet(
          CompareAndSetRequest.newBuilder().setKey(unusedKey).setExpectedVersion(Long.MAX_VALUE).build());
    } catch (StatusRuntimeException e) {
      String addressList = addresses.stream().map(Addresses::format).collect(Collectors.joining(", "));
      log.warn("claims-away", "lemondeal: the claim store at " + addressList + " does not answer: "
          + e.getStatus().getCode() + describe(e.getStatus()), "store", addressList);
    }
  }

  private static String describe(Status status) {
    return status.getDescription() == null ? "" : " (" + status.getDescription() + ")";
  }

  @Override
  public void read(String session, Consumer<Result> callback) {
    stub.withDeadlineAfter(callTimeoutMillis, TimeUnit.MILLISECONDS).read(
        ReadRequest.newBuilder().setKey(toKey(session)).build(),
        new UnaryObserver<Entry>(callback, entry -> new Result(true, toVersionedState(entry), "")));
  }

  @Override
  public void compareAndSet(String session, long expectedVersion, ClaimState state, Consumer<Result> callback) {
    CompareAndSetRequest request = CompareAndSetRequest.newBuilder()
        .setKey(toKey(session))
        .setExpectedVersion(expectedVersion)
        .setValue(StateCodec.encode(state))
        .setForgetAtMs(state.forgetAt())
        .build();
    stub.withDeadlineAfter(callTimeoutMillis, TimeUnit.MILLISECONDS).compareAndSet(request,
        new UnaryObserver<CompareAndSetReply>(callback,
            reply -> new Result(reply.getWritten(), toVersionedState(reply.getNow()), "")));
  }

  private static ByteString toKey(String session) {
    return ByteString.copyFrom(HexFormat.of().parseHex(session));
  }

  private static VersionedState toVersionedState(Entry entry) throws InvalidProtocolBufferException {
    return entry.getVersion() == 0 ? new VersionedState(0, ClaimState.NONE)
        : new VersionedState(entry.getVersion(), StateCodec.decode(entry.getValue()));
  }

  @Override
  public void close() {
    channel.shutdown();
    try {
      // The last commits may still be in flight.
      if (!channel.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        channel.shutdownNow();
      }
    } catch (InterruptedException e) {
      channel.shutdownNow();
      Thread.currentThread().interrupt();
    }
  }

  /** Converts a reply to a result. */
  private interface ReplyParser<T> {
    Result parse(T reply) throws InvalidProtocolBufferException;
  }

  /** Passes on the single reply of a call, or its failure. */
  private static final class UnaryObserver<T> implements StreamObserver<T> {
    private final Consumer<Result> callback;
    private final ReplyParser<T> parser;

    UnaryObserver(Consumer<Result> callback, ReplyParser<T> parser) {
      this.callback = callback;
      this.parser = parser;
    }

    @Override
    public void onNext(T reply) {
      Result result;
      try {
        result = parser.parse(reply);
      } catch (InvalidProtocolBufferException e) {
        result = new Result(false, null, "cannot decode the claim store's value");
      }
      callback.accept(result);
    }

    @Override
    public void onError(Throwable error) {
      callback.accept(new Result(false, null, "the store: " + Status.fromThrowable(error).getCode()));
    }

    @Override
    public void onCompleted() {
      // onNext has passed on the reply.
    }
  }
}
