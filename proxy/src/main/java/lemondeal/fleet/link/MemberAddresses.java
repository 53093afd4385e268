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
final class MemberAddresses {
  private final Map<Long, String> namesByHash = new HashMap<>();
  private final Map<String, PhysicalAddress> physicalAddresses = new HashMap<>();

  MemberAddresses(FleetRoster roster) {
    for (FleetRoster.Member member : roster.members()) {
      String other = namesByHash.put(nameHash(member.name()), member.name());
      if (other != null) {
        throw new IllegalArgumentException("'" + member.name() + "' and '" + other + "' can't be told apart");
      }
      physicalAddresses.put(member.name(), new IpAddress(member.address()));
    }
  }

  /** Under which address the proxy of this name starts. */
  static UUID logicalAddress(String name, long incarnation) {
    return new UUID(nameHash(name), incarnation);
  }

  /** Who has this logical address; null for one that the operator's file does not name. */
  String memberName(Address address) {
    return address instanceof UUID uuid ? namesByHash.get(uuid.getMostSignificantBits()) : null;
  }

  /** Where the proxy of this name is dialled. */
  PhysicalAddress physicalAddress(String name) {
    return physicalAddresses.get(name);
  }

  /** Where whoever has this logical address is dialled; null for a stranger. */
  PhysicalAddress physicalAddress(Address address) {
    String name = memberName(address);
    return name == null ? null : physicalAddresses.get(name);
  }

  private static long nameHash(String name) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
