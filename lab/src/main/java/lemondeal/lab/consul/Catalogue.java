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
 * What the stand-in Consul knows: instances with their checks, and the indexes that blocking queries wait on. Each change
 * is one step of the raft index, and of its service's. Safe for use by several threads.
 */
public final class Catalogue {
  static final String DATACENTER = "dc1";
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Map<String, Instance> instances = new LinkedHashMap<>();
  private final Map<String, Long> serviceIndex = new HashMap<>();
  private long raftIndex = 10;
  private int restoreCount;

  /** A look at the catalogue, and the index that it was taken at. */
  record Snapshot(ArrayNode json, long index) {}

  // ---- Changes ----------------------------------------------------------------------------------

  /** Registers an instance, or registers it anew: as after a restart, with a new create index. Returns its key. */
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

  /** Changes an instance in one step of the index; one that is not there is left so, and false is returned. */
  public synchronized boolean update(String key, Consumer<Instance> change) {
    Instance instance = instances.get(key);
    if (instance != null) {
      change.accept(instance);
      recordChange(instance);
    }
    return instance != null;
  }

  /** Sets the status of the instance's own check: passing, warning or critical. */
  public void setStatus(String key, String status) {
    setCheck(key, "service:" + key.substring(key.indexOf('/') + 1), status);
  }

  /** Sets the status of one of its checks, made where it is missing. */
  public boolean setCheck(String key, String check, String status) {
    return update(key, instance -> instance.checks.put(check, status));
  }

  /** Maintenance of the instance: a critical check of that name, as Consul adds one. */
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

  /** Takes the instance out of the catalogue. */
  public synchronized boolean deregister(String key) {
    Instance removed = instances.remove(key);
    if (removed != null) {
      recordChange(removed);
    }
    return removed != null;
  }

  /** As after a restore from an older snapshot: the indexes begin low again, and whoever waits is answered. */
  public synchronized void restoreIndex(long index) {
    restoreCount++;
    raftIndex = index;
    serviceIndex.replaceAll((service, before) -> index);
    notifyAll();
  }

  private void recordChange(Instance instance) {
    instance.modifyIndex = ++raftIndex;
    serviceIndex.put(instance.service, raftIndex);
    notifyAll();
  }

  /** Wakes whoever waits, to look again at what it waits for. */
  synchronized void wakeWaiters() {
    notifyAll();
  }

  // ---- Looks ------------------------------------------------------------------------------------

  /**
   * Waits until the service's index is beyond {@code index}, the time is up, or {@code enough} says so.
   *
   * @param service whose index counts; empty for that of all
   */
  synchronized void awaitChange(String service, long index, long waitMillis, BooleanSupplier cancelled)
      throws InterruptedException {
    if (index > 0) {
      int initialRestoreCount = restoreCount;
      awaitCondition(waitMillis, () -> indexOf(service) > index || restoreCount != initialRestoreCount || cancelled.getAsBoolean());
    }
  }

  /** Waits until it holds, as may be after each change and each {@link #wake}, or the time is up. */
  synchronized void awaitCondition(long waitMillis, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.currentTimeMillis() + waitMillis;
    for (long remaining = waitMillis; remaining > 0 && !condition.getAsBoolean(); remaining = deadline - System.currentTimeMillis()) {
      wait(remaining);
    }
  }

  private long indexOf(String service) {
    return service.isEmpty() ? raftIndex : serviceIndex.getOrDefault(service, raftIndex);
  }

  /** The entries of {@code /v1/health/service/NAME} that pass. */
  synchronized Snapshot healthEntries(String service, Predicate<Instance> included) {
    ArrayNode entries = JSON.arrayNode();
    instances.values().stream().filter(instance -> instance.service.equals(service)).filter(included)
        .forEach(instance -> entries.add(instance.healthEntry()));
    return new Snapshot(entries, indexOf(service));
  }

  /** The entries of {@code /v1/catalog/service/NAME}. */
  synchronized Snapshot catalogueEntries(String service) {
    ArrayNode entries = JSON.arrayNode();
    instances.values().stream().filter(instance -> instance.service.equals(service))
        .forEach(instance -> entries.add(instance.catalogueEntry()));
    return new Snapshot(entries, indexOf(service));
  }

  /** The nodes, each once. */
  synchronized Snapshot nodeEntries() {
    Map<String, Instance> byNode = new LinkedHashMap<>();
    instances.values().forEach(instance -> byNode.putIfAbsent(instance.node, instance));
    ArrayNode entries = JSON.arrayNode();
    byNode.values().forEach(instance -> entries.add(instance.nodeEntry()));
    return new Snapshot(entries, raftIndex);
  }

  /** The checks in this state, or in any. */
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

  /** Whether this instance is registered. */
  synchronized boolean has(String key) {
    return instances.containsKey(key);
  }
}
