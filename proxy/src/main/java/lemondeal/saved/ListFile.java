package lemondeal.saved;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongSupplier;
import lemondeal.config.Addresses;
import lemondeal.log.EventLog;
import lemondeal.membership.Health;
import lemondeal.membership.Member;
import lemondeal.saved.wire.SavedList;
import lemondeal.saved.wire.SavedMember;

/**
 * The last good list on disk, for a start while the catalogue is away. One file: a line with the format's version, a
 * SHA-256 of the rest, a {@code SavedList}. Written beside its place, forced to the disk and renamed over it, so that a
 * crash leaves the one before or the new one, whole; what is no such file is told and passed over, never half taken.
 *
 * <p>Writing happens on a thread of its own, at most once in a while, always the newest list. A disk that is full or
 * gone is told in the log, and serving goes on.
 */
public final class ListFile implements AutoCloseable {
  private static final byte[] MAGIC = "lemondeal list 1\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
  private static final int DIGEST = 32;
  private static final long MOST_BYTES = 64L << 20;
  private static final long CLOSE_SECONDS = 2;

  /**
   * Where the list is kept and for how long it is good.
   *
   * @param mostAgeMillis a list older than that is passed over at a start
   * @param everyMillis milliseconds between two writes at least
   */
  public record Settings(Path file, long mostAgeMillis, long everyMillis) {}

  /** A list that is to be written. */
  private record Waiting(String source, List<Member> members) {}

  private final Settings settings;
  private final LongSupplier clock;
  private final EventLog log;
  private final AtomicReference<Waiting> newest = new AtomicReference<>();
  private final ScheduledExecutorService writer = Executors.newSingleThreadScheduledExecutor(work -> {
    Thread thread = new Thread(work, "saved-list");
    thread.setDaemon(true);
    return thread;
  });

  /**
   * @param clock Unix milliseconds
   */
  public ListFile(Settings settings, LongSupplier clock, EventLog log) {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
  }

  /**
   * The list that was saved, empty where there is none that can be used; why is told in the log.
   *
   * @param source which service of which catalogue: a list of another one is passed over
   */
  public List<Member> read(String source) {
    try {
      SavedList list = decode();
      long age = clock.getAsLong() - list.getSavedAtMillis();
      if (!list.getSource().equals(source)) {
        return passedOver("it lists " + list.getSource() + ", not " + source);
      }
      if (age > settings.mostAgeMillis()) {
        return passedOver("it is " + age / 1000 + " s old; allowed: " + settings.mostAgeMillis() / 1000 + " s");
      }
      List<Member> members = new ArrayList<>(list.getMembersCount());
      for (SavedMember saved : list.getMembersList()) {
        members.add(member(saved));
      }
      log.info("saved-list-used", "lemondeal: " + members.size() + " servers from " + settings.file() + ", "
          + Math.max(0, age) / 1000 + " s old", "servers", members.size(), "age", Math.max(0, age) / 1000);
      return members;
    } catch (NoSuchFileException e) {
      return List.of();
    } catch (IOException | IllegalArgumentException e) {
      return passedOver(e.getMessage());
    }
  }

  private List<Member> passedOver(String why) {
    log.warn("saved-list-unusable", "lemondeal: " + settings.file() + " is passed over: " + why, "why", why);
    return List.of();
  }

  private SavedList decode() throws IOException {
    if (Files.size(settings.file()) > MOST_BYTES) {
      throw new IOException("it is larger than " + MOST_BYTES + " bytes");
    }
    byte[] all = Files.readAllBytes(settings.file());
    int from = MAGIC.length + DIGEST;
    if (all.length < from || !java.util.Arrays.equals(all, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
      throw new IOException("it is no list of this program's, or of another version");
    }
    ByteBuffer body = ByteBuffer.wrap(all, from, all.length - from);
    if (!MessageDigest.isEqual(digest(body), java.util.Arrays.copyOfRange(all, MAGIC.length, from))) {
      throw new IOException("its checksum does not fit: it is cut off or damaged");
    }
    try {
      return SavedList.parseFrom(body);
    } catch (InvalidProtocolBufferException e) {
      throw new IOException("it can't be read: " + e.getMessage(), e);
    }
  }

  private static Member member(SavedMember saved) {
    InetSocketAddress address = Addresses.parse(saved.getAddress());
    return new Member(saved.getId(), saved.getZone(), saved.getModel(), saved.getCell(), address,
        Health.valueOf(saved.getHealth()), saved.getPassingWeight(), saved.getWarningWeight(), saved.getIncarnation());
  }

  /** Has this list written soon, in place of any that still waits; any thread, never waits. */
  public void save(String source, List<Member> members) {
    if (newest.getAndSet(new Waiting(source, members)) == null) {
      try {
        writer.schedule(this::write, settings.everyMillis(), TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // Closed: what it still had to write is written.
      }
    }
  }

  private void write() {
    Waiting list = newest.getAndSet(null);
    if (list == null) {
      return;
    }
    Path file = settings.file().toAbsolutePath();
    Path fresh = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.createDirectories(file.getParent());
      try (FileChannel channel = FileChannel.open(fresh, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
          StandardOpenOption.TRUNCATE_EXISTING)) {
        ByteBuffer bytes = encode(list);
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
        channel.force(true);
      }
      Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      log.warn("saved-list-failed", "lemondeal: the list can't be saved in " + file + ": " + e.getMessage(), "why",
          String.valueOf(e.getMessage()));
    }
  }

  private ByteBuffer encode(Waiting waiting) {
    SavedList.Builder list = SavedList.newBuilder().setSource(waiting.source()).setSavedAtMillis(clock.getAsLong());
    for (Member member : waiting.members()) {
      list.addMembers(SavedMember.newBuilder().setId(member.id()).setZone(member.zone()).setModel(member.model())
          .setCell(member.cell()).setAddress(Addresses.text(member.address())).setHealth(member.health().name())
          .setPassingWeight(member.passingWeight()).setWarningWeight(member.warningWeight())
          .setIncarnation(member.incarnation()));
    }
    byte[] body = list.build().toByteArray();
    return ByteBuffer.allocate(MAGIC.length + DIGEST + body.length).put(MAGIC).put(digest(ByteBuffer.wrap(body)))
        .put(body).flip();
  }

  private static byte[] digest(ByteBuffer bytes) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      sha.update(bytes.duplicate());
      return sha.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** Writes what still waits, and ends the thread. */
  @Override
  public void close() {
    try {
      writer.submit(this::write).get(CLOSE_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
      log.warn("saved-list-failed", "lemondeal: the last list was not saved: " + e, "why", e.toString());
    }
    writer.shutdownNow();
  }
}
