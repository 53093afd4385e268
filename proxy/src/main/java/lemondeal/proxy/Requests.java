package lemondeal.proxy;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests and connections under way, by the id under which the module knows them: the slot's handle. A
 * client's own id would not do, since two clients may send the same one.
 */
final class Requests {
  private final SlotTable<ClientLink> slots;
  private final Set<String> givenIds = new HashSet<>();

  Requests(int most) {
    slots = new SlotTable<>(most);
  }

  boolean isFull() {
    return slots.isFull();
  }

  /** Slots that are free. */
  int left() {
    return slots.left();
  }

  int size() {
    return slots.size();
  }

  boolean isEmpty() {
    return slots.size() == 0;
  }

  boolean holds(String givenId) {
    return givenIds.contains(givenId);
  }

  String add(ClientLink client) {
    givenIds.add(client.givenId());
    return Long.toHexString(slots.add(client));
  }

  /** The request's client link, or null if it has gone since. */
  ClientLink find(String id) {
    return slots.get(Long.parseLong(id, 16));
  }

  void remove(String id) {
    long handle = Long.parseLong(id, 16);
    ClientLink client = slots.get(handle);
    if (client != null) {
      givenIds.remove(client.givenId());
      slots.remove(handle);
    }
  }

  List<ClientLink> all() {
    return slots.all();
  }
}
