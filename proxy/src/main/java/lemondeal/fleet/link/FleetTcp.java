package lemondeal.fleet.link;

import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;
import org.jgroups.Address;
import org.jgroups.Message;
import org.jgroups.PhysicalAddress;
import org.jgroups.protocols.BasicTCP;
import org.jgroups.util.MessageBatch;

/**
 * The library's TCP transport, with the fleet's addresses: who is not named is not heard, and a proxy is dialled where
 * the operator's file says, whatever it tells of itself.
 */
final class FleetTcp extends BasicTCP {
  private final Door door;
  private final Identities identities;
  private final AtomicLong strangers = new AtomicLong();
  private final AtomicLong bytes = new AtomicLong();

  FleetTcp(Door door, Identities identities) {
    this.door = door;
    this.identities = identities;
  }

  /** Messages of senders that the operator's file does not name. */
  long strangers() {
    return strangers.get();
  }

  /** Bytes given to the sockets, the library's own among them. */
  long bytesSent() {
    return bytes.get();
  }

  @Override
  public void start() throws Exception {
    door.receiver(this).timeService(time_service).socketConnectionTimeout(sock_conn_timeout).tcpNodelay(true)
        .deferClientBinding(true).log(log).setMaxLength(max_length).addConnectionListener(this);
    super.start();
  }

  @Override
  public void stop() {
    door.stop();
    super.stop();
  }

  @Override
  protected void handleConnect() throws Exception {
    door.start();
  }

  @Override
  protected void handleDisconnect() {
    door.stop();
  }

  @Override
  public void send(Address dest, byte[] data, int offset, int length) throws Exception {
    bytes.addAndGet(length);
    door.send(dest, data, offset, length);
  }

  /** A proxy that left the library's group is dialled on: rows do not depend on what the group agrees on. */
  @Override
  public void retainAll(Collection<Address> members) {
    // Nothing is closed.
  }

  @Override
  public String printConnections() {
    return door.printConnections();
  }

  @Override
  protected PhysicalAddress getPhysicalAddress() {
    return (PhysicalAddress) door.localAddress();
  }

  @Override
  protected boolean addPhysicalAddressToCache(Address logical, PhysicalAddress told, boolean overwrite) {
    PhysicalAddress dialled = logical != null && logical.equals(local_addr) ? told : identities.dialled(logical);
    return dialled != null && super.addPhysicalAddressToCache(logical, dialled, overwrite);
  }

  @Override
  public PhysicalAddress getPhysicalAddressFromCache(Address logical) {
    return logical != null && logical.equals(local_addr) ? super.getPhysicalAddressFromCache(logical)
        : identities.dialled(logical);
  }

  /** Through a relay a message is addressed to the relay. */
  @Override
  public boolean unicastDestMismatch(Address dest) {
    return !(dest instanceof PhysicalAddress) && super.unicastDestMismatch(dest);
  }

  @Override
  public void passMessageUp(Message message, byte[] cluster, boolean match, boolean multicast, boolean discardOwn) {
    if (isKnown(message.getSrc())) {
      super.passMessageUp(message, cluster, match, multicast, discardOwn);
    }
  }

  @Override
  public void passBatchUp(MessageBatch batch, boolean match, boolean discardOwn) {
    if (isKnown(batch.sender())) {
      super.passBatchUp(batch, match, discardOwn);
    }
  }

  private boolean isKnown(Address sender) {
    boolean known = identities.name(sender) != null;
    if (!known) {
      strangers.incrementAndGet();
    }
    return known;
  }
}
