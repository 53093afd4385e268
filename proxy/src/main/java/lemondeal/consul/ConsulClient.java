package lemondeal.consul;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Addresses;
import lemondeal.membership.Member;

/**
 * Client of Consul's health endpoint over HTTP, based on the JDK's client: TLS with the operator's authority and
 * certificate, an ACL token, and one of the configured agents per call, tried in turn. Answers are parsed and mapped as
 * they arrive, on a thread of this client, so that a list of ten thousand instances neither blocks the proxy's I/O
 * thread nor fills its heap. Each call ends with exactly one {@link Reply}.
 */
final class ConsulClient implements AutoCloseable {
  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;
  /** How long the answer of a call without a wait may take to begin. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;
  /**
   * The same after a wait, which Consul extends by up to a sixteenth. What a silent agent has counts as known 2 s after
   * the wait is over (STANDING), so that this leaves time to ask another one.
   */
  private static final long LATE_RESPONSE_MILLIS = 1_000;
  /** How long an answer that has begun may take: what it tells counts as known 6 s after it was written (STANDING). */
  static final long BODY_TIMEOUT_MILLIS = 4_000;

  /** The result of a call: an answer of the catalog, or why there is none. */
  record Reply(int status, long index, boolean knownLeader, long lastContact, List<Member> members,
      List<String> unusableEntries, String error, long durationMillis) {
    boolean successful() {
      return error.isEmpty() && status == 200;
    }

    static Reply failed(String reason, long durationMillis) {
      return new Reply(0, -1, false, 0, List.of(), List.of(), reason, durationMillis);
    }
  }

  /** A pending call. */
  static final class Call {
    private CompletableFuture<HttpResponse<InputStream>> responseFuture;
    private InputStream body;
    private boolean cancelled;

    /** Cancels the call in any state; a body that is being read ends for its reader. Callable on any thread. */
    synchronized void cancel() {
      cancelled = true;
      if (responseFuture != null) {
        responseFuture.cancel(true);
      }
      closeQuietly(body);
    }

    private synchronized void setResponseFuture(CompletableFuture<HttpResponse<InputStream>> future) {
      responseFuture = future;
    }

    private synchronized void setBody(InputStream stream) {
      body = stream;
      if (cancelled) {
        closeQuietly(stream);
      }
    }

    private static void closeQuietly(InputStream stream) {
      try {
        if (stream != null) {
          stream.close();
        }
      } catch (IOException e) {
        // The call is abandoned in any case.
      }
    }
  }

  private final ConsulSettings settings;
  /**
   * Runs the HTTP client's own work. Bodies are read on another thread, since reading blocks until this one delivers
   * data.
   */
  private final ExecutorService httpExecutor = daemonExecutor("consul-http");
  private final ExecutorService bodyExecutor = daemonExecutor("consul");
  private final HttpClient httpClient;
  private final String token;
  private final HealthResponseParser parser;
  /** Members of the last answer, used on the reader's thread only: a member without changes keeps its object. */
  private Map<String, Member> previousMembers = Map.of();

  /**
   * Reads the token and the certificates.
   *
   * @throws IOException if a file can't be read or used
   */
  ConsulClient(ConsulSettings settings) throws IOException {
    this.settings = settings;
    token = settings.tokenFile() == null ? "" : Files.readString(settings.tokenFile()).strip();
    parser = new HealthResponseParser(settings.maxInstances());
    HttpClient.Builder builder = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(httpExecutor)
        .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS)).followRedirects(HttpClient.Redirect.NEVER);
    if (settings.tls() != null) {
      builder.sslContext(sslContext()).sslParameters(sslParameters());
    }
    httpClient = builder.build();
  }

  private static ExecutorService daemonExecutor(String name) {
    return Executors.newSingleThreadExecutor(work -> {
      Thread thread = new Thread(work, name);
      thread.setDaemon(true);
      return thread;
    });
  }

  private SSLContext sslContext() throws IOException {
    try {
      return Pem.context(settings.tls());
    } catch (GeneralSecurityException e) {
      throw new IOException("TLS to Consul: " + e.getMessage(), e);
    }
  }

  /**
   * Disables the JDK's host check: {@link Pem}'s trust manager checks the agent's name or address, since it has the
   * name from the operator's file.
   */
  private static SSLParameters sslParameters() {
    SSLParameters parameters = new SSLParameters();
    parameters.setEndpointIdentificationAlgorithm(null);
    return parameters;
  }

  /** Milliseconds after which a call with this index must be abandoned unless its answer has begun. */
  long responseTimeoutMillis(long index) {
    long wait = effectiveWaitMillis(index);
    return wait > 0 ? wait * 17 / 16 + LATE_RESPONSE_MILLIS : RESPONSE_TIMEOUT_MILLIS;
  }

  private long effectiveWaitMillis(long index) {
    return index > 0 ? settings.waitMillis() : 0;
  }

  /**
   * Queries the agent with this index in the settings. {@code onReply} receives exactly one reply, on a thread of this
   * client, also if the call was cancelled.
   *
   * @param index waits for changes after this index; 0 for an immediate answer
   * @param onResponseBegun runs before that, once an answer has begun, on a thread of this client
   */
  Call query(int agent, long index, Runnable onResponseBegun, Consumer<Reply> onReply) {
    long startedNanos = System.nanoTime();
    Call call = new Call();
    CompletableFuture<HttpResponse<InputStream>> responseFuture = httpClient.sendAsync(
        request(settings.agents().get(agent), index),
        HttpResponse.BodyHandlers.ofInputStream());
    call.setResponseFuture(responseFuture);
    responseFuture.whenCompleteAsync((response, failure) -> {
      if (failure != null) {
        onReply.accept(Reply.failed(describe(failure), elapsedMillis(startedNanos)));
      } else {
        onResponseBegun.run();
        onReply.accept(read(call, response, startedNanos));
      }
    }, bodyExecutor);
    return call;
  }

  private static long elapsedMillis(long startedNanos) {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  private HttpRequest request(InetSocketAddress agent, long index) {
    long waitMillis = effectiveWaitMillis(index);
    StringBuilder query = new StringBuilder();
    add(query, "index", index > 0 ? Long.toString(index) : "");
    add(query, "wait", waitMillis > 0 ? waitMillis + "ms" : "");
    add(query, "dc", settings.datacenter());
    add(query, "ns", settings.namespace());
    add(query, "partition", settings.partition());
    add(query, "near", settings.near());
    add(query, "filter", settings.filter());
    switch (settings.consistency()) {
      case STALE -> query.append(query.length() == 0 ? "?" : "&").append("stale");
      case CONSISTENT -> query.append(query.length() == 0 ? "?" : "&").append("consistent");
      case DEFAULT -> { }
    }
    URI uri = URI.create((settings.tls() == null ? "http" : "https") + "://" + Addresses.format(agent)
        + "/v1/health/service/" + URLEncoder.encode(settings.service(), StandardCharsets.UTF_8) + query);
    HttpRequest.Builder builder = HttpRequest.newBuilder(uri).GET().header("Accept", "application/json")
        .timeout(Duration.ofMillis(responseTimeoutMillis(index)));
    if (!token.isEmpty()) {
      builder.header("X-Consul-Token", token);
    }
    return builder.build();
  }

  private static void add(StringBuilder query, String name, String value) {
    if (!value.isEmpty()) {
      query.append(query.length() == 0 ? "?" : "&").append(name).append('=')
          .append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }
  }

  private Reply read(Call call, HttpResponse<InputStream> response, long startedNanos) {
    try (InputStream body = new BoundedStream(response.body(), settings.maxBytes())) {
      call.setBody(body);
      long index = header(response, "X-Consul-Index", -1);
      boolean knownLeader = !response.headers().firstValue("X-Consul-KnownLeader").orElse("true").equals("false");
      long lastContact = header(response, "X-Consul-LastContact", 0);
      if (response.statusCode() != 200) {
        return new Reply(response.statusCode(), index, knownLeader, lastContact, List.of(), List.of(),
            "status " + response.statusCode(), elapsedMillis(startedNanos));
      }
      if (index < 0) {
        return Reply.failed("answer has no X-Consul-Index header", elapsedMillis(startedNanos));
      }
      List<Member> members = new ArrayList<>(previousMembers.size());
      List<String> unusableEntries = new ArrayList<>();
      parser.read(body, entry -> {
        try {
          members.add(reuseUnchanged(settings.mapping().member(entry)));
        } catch (MemberMapping.UnusableEntryException e) {
          unusableEntries.add(e.getMessage());
        }
      });
      updatePreviousMembers(members);
      return new Reply(200, index, knownLeader, lastContact, members, unusableEntries, "", elapsedMillis(startedNanos));
    } catch (ProtocolException | IOException e) {
      return Reply.failed(e.getMessage(), elapsedMillis(startedNanos));
    }
  }

  private Member reuseUnchanged(Member member) {
    Member previous = previousMembers.get(member.id());
    return member.equals(previous) ? previous : member;
  }

  private void updatePreviousMembers(List<Member> members) {
    Map<String, Member> byId = new HashMap<>(members.size() * 2);
    for (Member member : members) {
      byId.putIfAbsent(member.id(), member);
    }
    previousMembers = byId;
  }

  private static long header(HttpResponse<?> response, String name, long defaultValue) {
    String text = response.headers().firstValue(name).orElse("");
    try {
      return text.isEmpty() ? defaultValue : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return defaultValue;
    }
  }

  private static String describe(Throwable failure) {
    Throwable cause = failure.getCause() != null ? failure.getCause() : failure;
    return cause.getClass().getSimpleName() + (cause.getMessage() == null ? "" : ": " + cause.getMessage());
  }

  /** Stops the threads; pending calls must be cancelled before. */
  @Override
  public void close() {
    httpExecutor.shutdownNow();
    bodyExecutor.shutdownNow();
  }

  /** Limits the size of an answer, since it comes from an external system. */
  private static final class BoundedStream extends FilterInputStream {
    private final long maxBytes;
    private long bytesRead;

    BoundedStream(InputStream in, long maxBytes) {
      super(in);
      this.maxBytes = maxBytes;
    }

    @Override
    public int read() throws IOException {
      int value = super.read();
      addBytes(value < 0 ? 0 : 1);
      return value;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      int readCount = super.read(bytes, offset, length);
      addBytes(Math.max(0, readCount));
      return readCount;
    }

    private void addBytes(int more) throws IOException {
      bytesRead += more;
      if (bytesRead > maxBytes) {
        throw new IOException("an answer of more than " + maxBytes + " bytes");
      }
    }
  }
}
