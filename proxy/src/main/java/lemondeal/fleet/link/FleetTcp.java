package lemondeal.fleet.link;

import java.util.Collection;
import java.util.concurrent.atomic.AtomicLong;
import org.jgroups.Address;
import org.jgroups.Message;
import org.jgroups.PhysicalAddress;
import org.jgroups.protocols.BasicTCP;
import org.jgroups.util.MessageBatch;

/**
 * JGroups' TCP transport with the fleet's addresses: messages of unknown senders are dropped, and a proxy is dialled at
 * its configured address, whatever address it claims for itself.
 */
final class FleetTcp extends BasicTCP {
  private final FleetNioServer nioServer;
  private final MemberAddresses memberAddresses;
  private final AtomicLong unknownSenders = new AtomicLong();
  private final AtomicLong sentBytes = new AtomicLong();

  FleetTcp(FleetNioServer nioServer, MemberAddresses memberAddresses) {
    this.nioServer = nioServer;
    this.memberAddresses = memberAddresses;
  }

  /** Number of messages and batches from senders that are not in the operator's file. */
  long unknownSenders() {
    return unknownSenders.get();
  }

  /** Bytes written to the sockets, including JGroups' own messages. */
  long bytesSent() {
    return sentBytes.get();
  }

  @Override
  public void start() throws Exception {
    nioServer.receiver(this).timeService(time_service).socketConnectionTimeout(sock_conn_timeout).tcpNodelay(true)
        .deferClientBinding(true).log(log).setMaxLength(max_length).addConnectionListener(this);
    super.start();
  }

  @Override
  public void stop() {
    nioServer.stop();
    super.stop();
  }

  @Override
  protected void handleConnect() throws Exception {
    nioServer.start();
  }

  @Override
  protected void handleDisconnect() {
    nioServer.stop();
  }

  @Override
  public void send(Address dest, byte[] data, int offset, int length) throws Exception {
    sentBytes.addAndGet(length);
    nioServer.send(dest, data, offset, length);
  }

  /** Keeps the connection to a proxy that has left the JGroups group: rows do not depend on the group's membership. */
  @Override
  public void retainAll(Collection<Address> members) {
    // No connection is closed.
  }

  @Override
  public String printConnections() {
    return nioServer.printConnections();
  }

  @Override
  protected PhysicalAddress getPhysicalAddress() {
    return (PhysicalAddress) nioServer.localAddress();
  }

  @Override
  protected boolean addPhysicalAddressToCache(Address logical, PhysicalAddress claimed, boolean overwrite) {
    PhysicalAddress configured = logical != null && logical.equals(local_addr) ? claimed
        : memberAddresses.physicalAddress(logical);
    return configured != null && super.addPhysicalAddressToCache(logical, configured, overwrite);
  }

  @Override
  public PhysicalAddress getPhysicalAddressFromCache(Address logical) {
    return logical != null && logical.equals(local_addr) ? super.getPhysicalAddressFromCache(logical)
        : memberAddresses.physicalAddress(logical);
  }

  /** Accepts any physical address as the destination: a message forwarded by a relay carries the relay's address. */
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
    boolean known = memberAddresses.memberName(sender) != null;
    if (!known) {
      unknownSenders.incrementAndGet();
    }
    return known;
  }
}
