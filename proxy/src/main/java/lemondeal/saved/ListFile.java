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
 * Stores the last good list on disk, for a start while the catalog is unavailable. The file has a line with the
 * format's version, a SHA-256 digest of the rest, and a {@code SavedList}. It is written to a temporary file, synced to
 * disk and renamed, so that after a crash either the previous or the new file is there, complete. A file that is not
 * valid is logged and ignored as a whole.
 *
 * <p>Writes run on a separate thread at a limited rate, always with the newest list. A disk that is full or unavailable
 * is logged, and serving continues.
 */
public final class ListFile implements AutoCloseable {
  private static final byte[] MAGIC = "lemondeal list 1\n".getBytes(java.nio.charset.StandardCharsets.US_ASCII);
  private static final int DIGEST_LENGTH = 32;
  private static final long MAX_BYTES = 64L << 20;
  private static final long CLOSE_TIMEOUT_SECONDS = 2;

  /**
   * Where the list is stored and how long it is valid.
   *
   * @param maxAgeMillis a list older than this is ignored at startup
   * @param writeIntervalMillis minimum milliseconds between two writes
   */
  public record Settings(Path file, long maxAgeMillis, long writeIntervalMillis) {}

  /** A list to be written. */
  private record PendingWrite(String source, List<Member> members) {}

  private final Settings settings;
  private final LongSupplier clock;
  private final EventLog log;
  private final AtomicReference<PendingWrite> latestPending = new AtomicReference<>();
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
   * Reads the saved list; empty if there is none or it can't be used, in which case the reason is logged.
   *
   * @param source identifies the service and catalog; a list of another source is ignored
   */
  public List<Member> read(String source) {
    try {
      SavedList list = decode();
      long age = clock.getAsLong() - list.getSavedAtMillis();
      if (!list.getSource().equals(source)) {
        return unusable("it has the list of " + list.getSource() + ", not " + source);
      }
      if (age > settings.maxAgeMillis()) {
        return unusable("it is " + age / 1000 + " s old; allowed: " + settings.maxAgeMillis() / 1000 + " s");
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
      return unusable(e.getMessage());
    }
  }

  private List<Member> unusable(String reason) {
    log.warn("saved-list-unusable", "lemondeal: " + settings.file() + " is passed over: " + reason, "why", reason);
    return List.of();
  }

  private SavedList decode() throws IOException {
    if (Files.size(settings.file()) > MAX_BYTES) {
      throw new IOException("it is larger than " + MAX_BYTES + " bytes");
    }
    byte[] content = Files.readAllBytes(settings.file());
    int bodyStart = MAGIC.length + DIGEST_LENGTH;
    if (content.length < bodyStart || !java.util.Arrays.equals(content, 0, MAGIC.length, MAGIC, 0, MAGIC.length)) {
      throw new IOException("it is no list of this program's, or of another version");
    }
    ByteBuffer body = ByteBuffer.wrap(content, bodyStart, content.length - bodyStart);
    if (!MessageDigest.isEqual(digest(body), java.util.Arrays.copyOfRange(content, MAGIC.length, bodyStart))) {
      throw new IOException("its checksum does not match: it is truncated or corrupt");
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

  /** Schedules this list to be written, in place of any pending one; callable on any thread, never blocks. */
  public void save(String source, List<Member> members) {
    if (latestPending.getAndSet(new PendingWrite(source, members)) == null) {
      try {
        writer.schedule(this::write, settings.writeIntervalMillis(), TimeUnit.MILLISECONDS);
      } catch (RejectedExecutionException e) {
        // Already closed: close() has written the list that was pending.
      }
    }
  }

  private void write() {
    PendingWrite pending = latestPending.getAndSet(null);
    if (pending == null) {
      return;
    }
    Path file = settings.file().toAbsolutePath();
    Path temporaryFile = file.resolveSibling(file.getFileName() + ".new");
    try {
      Files.createDirectories(file.getParent());
      try (FileChannel channel = FileChannel.open(temporaryFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
          StandardOpenOption.TRUNCATE_EXISTING)) {
        ByteBuffer bytes = encode(pending);
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
        channel.force(true);
      }
      Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      log.warn("saved-list-failed", "lemondeal: the list can't be saved in " + file + ": " + e.getMessage(), "why",
          String.valueOf(e.getMessage()));
    }
  }

  private ByteBuffer encode(PendingWrite pending) {
    SavedList.Builder list = SavedList.newBuilder().setSource(pending.source()).setSavedAtMillis(clock.getAsLong());
    for (Member member : pending.members()) {
      list.addMembers(SavedMember.newBuilder().setId(member.id()).setZone(member.zone()).setModel(member.model())
          .setCell(member.cell()).setAddress(Addresses.format(member.address())).setHealth(member.health().name())
          .setPassingWeight(member.passingWeight()).setWarningWeight(member.warningWeight())
          .setIncarnation(member.incarnation()));
    }
    byte[] body = list.build().toByteArray();
    return ByteBuffer.allocate(MAGIC.length + DIGEST_LENGTH + body.length).put(MAGIC).put(digest(ByteBuffer.wrap(body)))
        .put(body).flip();
  }

  private static byte[] digest(ByteBuffer bytes) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      sha256.update(bytes.duplicate());
      return sha256.digest();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has SHA-256", e);
    }
  }

  /** Writes the pending list, if any, and stops the thread. */
  @Override
  public void close() {
    try {
      writer.submit(this::write).get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException | RejectedExecutionException e) {
      log.warn("saved-list-failed", "lemondeal: the last list was not saved: " + e, "why", e.toString());
    }
    writer.shutdownNow();
  }
}
