package lemondeal.claims;

import io.grpc.EquivalentAddressGroup;
import io.grpc.NameResolver;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;

/**
 * The addresses of one store, as gRPC's name resolution hands them to its channel: one group, so that the library's
 * {@code pick_first} tries them in their order and keeps the first that answers. No name is looked up; the platform has no
 * DNS, and an installation that has one names the store's addresses in the operator's file all the same.
 */
final class StaticAddressResolver extends NameResolver.Factory {
  static final String SCHEME = "lemondeal-store";

  private final List<InetSocketAddress> addresses;
  private final String authority;

  /** @param authority what the store's certificate is checked against */
  StaticAddressResolver(List<InetSocketAddress> addresses, String authority) {
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
        List<SocketAddress> all = new ArrayList<>(addresses);
        listener.onResult(ResolutionResult.newBuilder()
            .setAddressesOrError(io.grpc.StatusOr.fromValue(List.of(new EquivalentAddressGroup(all)))).build());
      }

      @Override
      public void shutdown() {
        // Nothing is watched.
      }
    };
  }

  @Override
  public String getDefaultScheme() {
    return SCHEME;
  }
}
