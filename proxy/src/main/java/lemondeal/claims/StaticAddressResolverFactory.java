package lemondeal.claims;

import io.grpc.EquivalentAddressGroup;
import io.grpc.NameResolver;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * Creates gRPC name resolvers that return the configured addresses of one store as one address group, so that gRPC's
 * {@code pick_first} policy tries them in order and keeps the first that answers. No name is resolved: the platform has
 * no DNS, and installations with DNS configure the store's addresses in the operator's file too.
 */
final class StaticAddressResolverFactory extends NameResolver.Factory {
  static final String SCHEME = "lemondeal-store";

  private final List<InetSocketAddress> addresses;
  private final String authority;

  /** @param authority the name that the store's certificate must match */
  StaticAddressResolverFactory(List<InetSocketAddress> addresses, String authority) {
    this.addresses = List.copyOf(addresses);
    this.authority = authority;
  }

  @Override
  public NameResolver newNameResolver(URI target, NameResolver.Args args) {
    if (!SCHEME.equals(target.getScheme())) {
      return null;
    }
    return new NameResolver() {
      @Override
      public String getServiceAuthority() {
        return authority;
      }

      @Override
      public void start(Listener2 listener) {
        List<SocketAddress> socketAddresses = new ArrayList<>(addresses);
        listener.onResult(ResolutionResult.newBuilder()
            .setAddressesOrError(io.grpc.StatusOr.fromValue(List.of(new EquivalentAddressGroup(socketAddresses))))
            .build());
      }

      @Override
      public void shutdown() {
        // Holds no resources.
      }
    };
  }

  @Override
  public String getDefaultScheme() {
    return SCHEME;
  }
}
