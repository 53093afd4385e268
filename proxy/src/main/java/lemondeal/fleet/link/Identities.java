package lemondeal.fleet.link;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.Map;
import lemondeal.fleet.FleetRoster;
import org.jgroups.Address;
import org.jgroups.PhysicalAddress;
import org.jgroups.stack.IpAddress;
import org.jgroups.util.UUID;

/**
 * The library's addresses of the fleet's proxies. A proxy's logical address is made of its name and its incarnation, so
 * that whoever receives a message knows the sender by the operator's file alone. Where a proxy is dialled is the file's
 * to say, too, never what the proxy tells of itself: through a relay or another network it may be somewhere else.
 */
final class Identities {
  private final Map<Long, String> names = new HashMap<>();
  private final Map<String, PhysicalAddress> dialled = new HashMap<>();

  Identities(FleetRoster roster) {
    for (FleetRoster.Named member : roster.members()) {
      String other = names.put(bits(member.name()), member.name());
      if (other != null) {
        throw new IllegalArgumentException("'" + member.name() + "' and '" + other + "' can't be told apart");
      }
      dialled.put(member.name(), new IpAddress(member.address()));
    }
  }

  /** Under which address the proxy of this name starts. */
  static UUID address(String name, long incarnation) {
    return new UUID(bits(name), incarnation);
  }

  /** Who has this logical address; null for one that the operator's file does not name. */
  String name(Address address) {
    return address instanceof UUID uuid ? names.get(uuid.getMostSignificantBits()) : null;
  }

  /** Where the proxy of this name is dialled. */
  PhysicalAddress dialled(String name) {
    return dialled.get(name);
  }

  /** Where whoever has this logical address is dialled; null for a stranger. */
  PhysicalAddress dialled(Address address) {
    String name = name(address);
    return name == null ? null : dialled.get(name);
  }

  private static long bits(String name) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
