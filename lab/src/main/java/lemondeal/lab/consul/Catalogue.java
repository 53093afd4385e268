package lemondeal.lab.consul;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The catalogue of the fake Consul: instances with their checks, and the indexes that blocking queries wait on. Each
 * change increments the raft index and sets the index of its service. Thread-safe.
 */
public final class Catalogue {
  static final String DATACENTER = "dc1";
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Map<String, Long> serviceIndex = new HashMap<>();
  private long raftIndex = 10;
  private int restoreCount;

  /** Entries with the index at which they were read. */
  record Snapshot(ArrayNode json, long index) {}

  // ---- Changes ----------------------------------------------------------------------------------

  /** Registers an instance; replacing one sets a new create index, as after a restart. Returns the instance's key. */
  public synchronized String register(String node, String nodeAddress, String service, String id, int port) {
    Instance instance = new Instance(node, nodeAddress, service, id, port);
    instance.createIndex = raftIndex + 1;
    instances.put(key(node, id), instance);
    recordChange(instance);
    return key(node, id);
  }

  static String key(String node, String id) {
    return node + "/" + id;
  }

  /** Changes an instance in one step of the index. Returns false if there is no such instance. */
  public synchronized boolean update(String key, Consumer<Instance> change) {
    Instance instance = instances.get(key);
    if (instance != null) {
      change.accept(instance);
      recordChange(instance);
    }
    return instance != null;
  }

  /** Sets the status of the instance's service check: passing, warning or critical. */
  public void setStatus(String key, String status) {
    setCheck(key, "service:" + key.substring(key.indexOf('/') + 1), status);
  }

  /** Sets the status of a check, and adds the check where it is missing. */
  public boolean setCheck(String key, String check, String status) {
    return update(key, instance -> instance.checks.put(check, status));
  }

  /** Turns maintenance mode on or off by adding or removing a critical check, as Consul does. */
  public boolean setMaintenance(String key, boolean on) {
    return update(key, instance -> {
      String check = "_service_maintenance:" + instance.id;
      if (on) {
        instance.checks.put(check, "critical");
      } else {
        instance.checks.remove(check);
      }
    });
  }

  /** Removes an instance. */
  public synchronized boolean deregister(String key) {
    Instance removed = instances.remove(key);
    if (removed != null) {
      recordChange(removed);
    }
    return removed != null;
  }

  /** Resets the indexes to a lower value, as after a restore from an older snapshot, and ends all blocking queries. */
  public synchronized void restoreIndex(long index) {
    restoreCount++;
    raftIndex = index;
    serviceIndex.replaceAll((service, before) -> index);
    notifyAll();
  }

  /** Makes several changes visible at once, as one transaction of Consul's does. */
  public synchronized void transaction(Runnable changes) {
    changes.run();
  }

  private void recordChange(Instance instance) {
    instance.modifyIndex = ++raftIndex;
    serviceIndex.put(instance.service, raftIndex);
    notifyAll();
  }

  /** Wakes all waiting threads so that they check their conditions again. */
  synchronized void wakeWaiters() {
    notifyAll();
  }

  // ---- Queries ------------------------------------------------------------------------------------

  /**
   * Waits until the service's index exceeds {@code index}, the indexes are restored, the wait times out, or
   * {@code cancelled} returns true.
   *
   * @param service the service whose index counts; empty for the raft index
   */
  synchronized void awaitChange(String service, long index, long waitMillis, BooleanSupplier cancelled)
      throws InterruptedException {
    if (index > 0) {
      int initialRestoreCount = restoreCount;
      awaitCondition(waitMillis, () -> indexOf(service) > index || restoreCount != initialRestoreCount
          || cancelled.getAsBoolean());
    }
  }

  /** Waits until the condition holds or the wait times out; checks after each change and {@link #wakeWaiters}. */
  synchronized void awaitCondition(long waitMillis, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.currentTimeMillis() + waitMillis;
    for (long remaining = waitMillis; remaining > 0 && !condition.getAsBoolean();
        remaining = deadline - System.currentTimeMillis()) {
      wait(remaining);
    }
  }

  private long indexOf(String service) {
    return service.isEmpty() ? raftIndex : serviceIndex.getOrDefault(service, raftIndex);
  }

  /** Returns the entries of {@code /v1/health/service/NAME} for the instances that pass the filter. */
  synchronized Snapshot healthEntries(String service, Predicate<Instance> included) {
    ArrayNode entries = JSON.arrayNode();
    instances.values().stream().filter(instance -> instance.service.equals(service)).filter(included)
        .forEach(instance -> entries.add(instance.healthEntry()));
    return new Snapshot(entries, indexOf(service));
  }

  /** Returns the entries of {@code /v1/catalog/service/NAME}. */
  synchronized Snapshot catalogueEntries(String service) {
    ArrayNode entries = JSON.arrayNode();
    instances.values().stream().filter(instance -> instance.service.equals(service))
        .forEach(instance -> entries.add(instance.catalogueEntry()));
    return new Snapshot(entries, indexOf(service));
  }

  /** Returns each node once. */
  synchronized Snapshot nodeEntries() {
    Map<String, Instance> byNode = new LinkedHashMap<>();
    instances.values().forEach(instance -> byNode.putIfAbsent(instance.node, instance));
    ArrayNode entries = JSON.arrayNode();
    byNode.values().forEach(instance -> entries.add(instance.nodeEntry()));
    return new Snapshot(entries, raftIndex);
  }

  /** Returns the checks in a state; {@code any} selects all. */
  synchronized Snapshot checkEntries(String state) {
    ArrayNode entries = JSON.arrayNode();
    for (Instance instance : instances.values()) {
      instance.checks.forEach((check, status) -> {
        if (state.equals("any") || state.equals(status)) {
          entries.add(instance.checkEntry(check, status));
        }
      });
    }
    return new Snapshot(entries, raftIndex);
  }

  synchronized boolean has(String key) {
    return instances.containsKey(key);
  }
}
