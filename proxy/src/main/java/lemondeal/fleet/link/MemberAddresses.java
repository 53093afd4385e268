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
 * JGroups' addresses of the fleet's members. A proxy's logical address consists of a hash of its name and its
 * incarnation, so that a receiver can identify the sender by the operator's file alone. The address at which a proxy is
 * dialled also comes from that file, never from the proxy itself: through a relay or another network it may be reached
 * at a different address.
 */
final class MemberAddresses {
  private final Map<Long, String> namesByHash = new HashMap<>();
  private final Map<String, PhysicalAddress> physicalAddresses = new HashMap<>();

  MemberAddresses(FleetRoster roster) {
    for (FleetRoster.Member member : roster.members()) {
      String other = namesByHash.put(nameHash(member.name()), member.name());
      if (other != null) {
        throw new IllegalArgumentException("'" + member.name() + "' and '" + other + "' have the same hash");
      }
      physicalAddresses.put(member.name(), new IpAddress(member.address()));
    }
  }

  /** The logical address with which the proxy of this name starts. */
  static UUID logicalAddress(String name, long incarnation) {
    return new UUID(nameHash(name), incarnation);
  }

  /** The member with this logical address; null for one that is not in the operator's file. */
  String memberName(Address address) {
    return address instanceof UUID uuid ? namesByHash.get(uuid.getMostSignificantBits()) : null;
  }

  /** The address at which the proxy of this name is dialled. */
  PhysicalAddress physicalAddress(String name) {
    return physicalAddresses.get(name);
  }

  /** The address at which the member with this logical address is dialled; null for an unknown sender. */
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
