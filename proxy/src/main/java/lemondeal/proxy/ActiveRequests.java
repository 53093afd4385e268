package lemondeal.proxy;

import java.util.List;

/**
 * The open requests and connections, by the id under which the module knows them: the slot's handle. A client's own id
 * would not do, since two clients may send the same one.
 */
final class ActiveRequests {
  private final SlotTable<ClientLink> slots;

  ActiveRequests(int capacity) {
    slots = new SlotTable<>(capacity);
  }

  boolean isFull() {
    return slots.isFull();
  }

  /** The number of free slots. */
  int freeSlots() {
    return slots.freeSlots();
  }

  int size() {
    return slots.size();
  }

  boolean isEmpty() {
    return slots.size() == 0;
  }

  String add(ClientLink client) {
    return Long.toHexString(slots.add(client));
  }

  /** The request's client link, or null if it has ended since. */
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
