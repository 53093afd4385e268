package lemondeal.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.Set;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerEntry;
import lemondeal.Balancer.ServerList;
import lemondeal.Balancer.ServerState;
import lemondeal.config.Config.Names;
import org.junit.jupiter.api.Test;

/** What is kept of servers that drain or were removed: a dial begun earlier may still be in progress. */
class KnownServersTest {
  private static final long MINUTE = 60_000_000;

  private long now = 1_000;
  private final KnownServers servers = new KnownServers(new Names(List.of(), List.of("a"), List.of("m")), () -> now);

  private void apply(ListKind kind, ServerEntry... entries) {
    servers.apply(new ServerList(1, kind, List.of(entries)));
  }

  private static ServerEntry server(String name, ServerState state) {
    return new ServerEntry(name, 0, 7, 0, 0, state, 1);
  }

  /** Its zone and cell decide whether a repeat is deduplicated, also just after its removal was announced. */
  @Test
  void aRemovedServerIsKeptForAWhile() {
    apply(ListKind.FULL, server("s1", ServerState.READY), server("s2", ServerState.READY));
    apply(ListKind.CHANGES, server("s1", ServerState.GONE));
    assertEquals(7, servers.entry("s1").cell());
    assertEquals(now, servers.drainingSince("s1"));
    now += MINUTE + 1;
    apply(ListKind.CHANGES);
    assertNull(servers.entry("s1"));
    assertNotNull(servers.entry("s2"));
  }

  /** The minute counts from the removal, not from the drain that was announced long before. */
  @Test
  void aLongDrainedServerIsKeptForAWhileAfterItsRemoval() {
    apply(ListKind.FULL, server("s1", ServerState.READY));
    apply(ListKind.CHANGES, server("s1", ServerState.DRAINING));
    long drainAnnouncedAt = now;
    now += 10 * MINUTE;
    apply(ListKind.CHANGES, server("s1", ServerState.GONE));
    assertNotNull(servers.entry("s1"));
    assertEquals(drainAnnouncedAt, servers.drainingSince("s1"));
    now += MINUTE + 1;
    apply(ListKind.CHANGES);
    assertNull(servers.entry("s1"));
  }

  @Test
  void aFullListWithoutAServerRemovesIt() {
    apply(ListKind.FULL, server("s1", ServerState.READY));
    apply(ListKind.FULL, server("s2", ServerState.READY));
    assertEquals(7, servers.entry("s1").cell());
    assertEquals(now, servers.drainingSince("s1"));
    apply(ListKind.FULL, server("s1", ServerState.READY));
    assertEquals(RequestRules.NOT_DRAINING, servers.drainingSince("s1"));
  }

  /** Each class may have its own service with its own lists, which arrive in any order. */
  @Test
  void aFullListOfOneServiceRemovesNoServerOfAnother() {
    for (ListKind fullKind : List.of(ListKind.SAVED, ListKind.FULL)) {
      servers.apply(new ServerList(1, fullKind, List.of(server("f1", ServerState.READY)), 1));
      servers.apply(new ServerList(1, fullKind, List.of(server("s1", ServerState.READY)), 0));
      assertEquals(RequestRules.NOT_DRAINING, servers.drainingSince("f1"));
      assertEquals(Set.of("f1", "s1"), servers.serverIds());
    }
    servers.apply(new ServerList(2, ListKind.FULL, List.of(server("f2", ServerState.READY)), 1));
    assertEquals(now, servers.drainingSince("f1"));
    assertEquals(RequestRules.NOT_DRAINING, servers.drainingSince("s1"));
  }
}
