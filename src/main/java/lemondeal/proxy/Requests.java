package lemondeal.proxy;

import java.util.List;

/**
 * The requests and connections under way, by the id under which the module knows them: the slot's handle. A
 * client's own id would not do, since two clients may send the same one.
 */
final class Requests {
  private final SlotTable<ClientLink> slots;

  Requests(int most) {
    slots = new SlotTable<>(most);
  }

  boolean isFull() {
    return slots.isFull();
  }

  boolean isEmpty() {
    return slots.size() == 0;
  }

  String add(ClientLink client) {
    return Long.toHexString(slots.add(client));
  }

  /** The request's client link, or null if it has gone since. */
  ClientLink find(String id) {
    return slots.get(Long.parseLong(id, 16));
  }

  void remove(String id) {
    slots.remove(Long.parseLong(id, 16));
  }

  List<ClientLink> all() {
    return slots.all();
  }
}
