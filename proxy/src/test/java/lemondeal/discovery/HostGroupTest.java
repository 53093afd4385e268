package lemondeal.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lemondeal.Balancer.ListKind;
import lemondeal.Balancer.ServerState;
import lemondeal.codec.Json;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Config.Names;
import org.junit.jupiter.api.Test;

/** Lists that arrive out of order, and the addresses that result. */
class HostGroupTest {
  private final HostGroup group = new HostGroup(new Names(List.of("chat"), List.of("a"), List.of("m")));

  private static Map<String, Object> list(int generation, boolean reset, String... instances) throws ProtocolException {
    return Json.parseObject("{\"generation\":" + generation + ",\"reset\":" + reset + ",\"instances\":["
        + String.join(",", instances) + "]}");
  }

  private static String instance(String id, int port, String lifecycle, long startedAtMillis) {
    return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"lifecycle\":\""
        + lifecycle + "\",\"startedAtMs\":" + startedAtMillis + "}";
  }

  private static InetSocketAddress address(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }

  @Test
  void olderFullListDoesNotOverwriteANewerOne() throws Exception {
    group.update(list(7, true, instance("s-1", 1, "terminating", 0), instance("s-2", 2, "in_service", 0)), 0);
    assertNull(group.update(list(5, true, instance("s-1", 1, "in_service", 0)), 3),
        "requested when version 3 was held");
    assertEquals(7, group.generation());
    assertEquals(address(2), group.address("s-2"));
  }

  @Test
  void olderWatchChangesDoNotOverwriteANewerFullList() throws Exception {
    group.update(list(7, true, instance("s-1", 1, "terminating", 0)), 0);
    assertNull(group.update(list(6, false, instance("s-1", 9, "in_service", 0)), 5), "the watch is at version 5");
    assertEquals(address(1), group.address("s-1"));
    assertNotNull(group.update(list(7, false, instance("s-1", 1, "terminating", 0)), 5),
        "an equally new list is accepted");
  }

  /**
   * Discovery numbers its versions from the start again then, and sends a full list to show that it does not know the
   * held version.
   */
  @Test
  void fullListAfterADiscoveryRestartIsAccepted() throws Exception {
    group.update(list(41, true, instance("s-1", 1, "in_service", 0)), 0);
    assertEquals(ListKind.FULL, group.update(list(3, true, instance("s-1", 1, "terminating", 0)), 41).kind());
    assertEquals(3, group.generation());
  }

  @Test
  void changesOlderThanTheirBaseVersionAreRejected() throws Exception {
    group.update(list(41, true, instance("s-1", 1, "terminating", 0)), 0);
    assertThrows(ProtocolException.class,
        () -> group.update(list(3, false, instance("s-1", 9, "in_service", 0)), 41));
    assertEquals(41, group.generation());
    assertEquals(address(1), group.address("s-1"));
  }

  @Test
  void anAddressFollowsItsInstance() throws Exception {
    group.update(list(1, true, instance("s-1", 1, "in_service", 0), instance("s-2", 2, "in_service", 0)), 0);
    group.update(list(2, false, instance("s-1", 9, "in_service", 5)), 1);
    assertEquals(address(9), group.address("s-1"), "moved");
    group.update(list(3, false, instance("s-1", 9, "terminated", 5)), 2);
    assertNull(group.address("s-1"), "gone");
    assertEquals(address(2), group.address("s-2"), "the others stay");
    var restored = group.update(list(4, false, instance("s-1", 9, "in_service", 7)), 3);
    assertEquals(address(9), group.address("s-1"), "under the same address");
    assertEquals(7_000, restored.entries().get(0).startedAt(), "with a new start time");
    assertEquals(ServerState.READY, restored.entries().get(0).state());
    group.update(list(5, true), 4);
    assertNull(group.address("s-1"), "an empty full list removes all addresses");
    assertNull(group.address("s-2"));
  }

  /** Two instances may use the same address one after the other: the end of the first must not remove the second's. */
  @Test
  void reusedAddressSurvivesTheRemovalOfItsFormerInstance() throws Exception {
    group.update(list(1, true, instance("s-1", 1, "in_service", 0)), 0);
    group.update(list(2, false, instance("s-9", 1, "in_service", 5), instance("s-1", 1, "terminated", 0)), 1);
    assertEquals(address(1), group.address("s-9"));
    assertNull(group.address("s-1"));
  }

  @Test
  void unreadableListChangesNothing() throws Exception {
    group.update(list(1, true, instance("s-1", 1, "in_service", 0)), 0);
    assertThrows(ProtocolException.class, () -> group.update(
        list(2, true, instance("s-2", 2, "in_service", 0), instance("s-3", 3, "resting", 0)), 1));
    assertEquals(1, group.generation());
    assertEquals(address(1), group.address("s-1"));
    assertNull(group.address("s-2"));
  }
}
