package lemondeal.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Flow;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLParameters;
import lemondeal.codec.ProtocolException;
import lemondeal.config.Addresses;

/**
 * Asks Consul's health endpoint over HTTP, with the JDK's client: TLS with the operator's authority and certificate, a
 * token, agents tried in turn. Answers are read and mapped on the client's own thread, so that a list of ten thousand
 * never holds up the proxy's I/O thread; each call ends once, with a {@link Reply}.
 */
final class ConsulClient implements AutoCloseable {
  private static final long CONNECT_MILLIS = 2_000;
  /** Beyond the wait: Consul adds up to a sixteenth of it, and the answer has to come over. */
  private static final long SLACK_MILLIS = 3_000;

  /** How a call ended: an answer of the catalogue's, or why there is none. */
  record Reply(int status, long index, boolean knownLeader, long lastContact, List<Mapping.Member> members,
      List<String> unusable, String fault, long took) {
    boolean answered() {
      return fault.isEmpty() && status == 200;
    }
  }

  private final ConsulSettings settings;
  private final ExecutorService thread;
  private final HttpClient http;
  private final String token;
  private final HealthAnswer parser;

  /**
   * Reads the token and the certificates now; throws where they can't be used.
   *
   * @throws IOException where a file can't be read or used
   */
  ConsulClient(ConsulSettings settings) throws IOException {
    this.settings = settings;
    token = settings.tokenFile() == null ? "" : Files.readString(settings.tokenFile()).strip();
    parser = new HealthAnswer(settings.mostInstances());
    thread = Executors.newSingleThreadExecutor(work -> {
      Thread consul = new Thread(work, "consul");
      consul.setDaemon(true);
      return consul;
    });
    HttpClient.Builder builder = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).executor(thread)
        .connectTimeout(Duration.ofMillis(CONNECT_MILLIS)).followRedirects(HttpClient.Redirect.NEVER);
    if (settings.tls() != null) {
      builder.sslContext(sslContext()).sslParameters(sslParameters());
    }
    http = builder.build();
  }

  private SSLContext sslContext() throws IOException {
    try {
      return Pem.context(settings.tls());
    } catch (GeneralSecurityException e) {
      throw new IOException("TLS towards Consul: " + e.getMessage(), e);
    }
  }

  /** The name or address of the agent is checked by {@link Pem}'s trust, which knows the name of the operator's file. */
  private static SSLParameters sslParameters() {
    SSLParameters parameters = new SSLParameters();
    parameters.setEndpointIdentificationAlgorithm(null);
    return parameters;
  }

  /**
   * Asks the agent with this number; {@code told} hears the reply once, on the client's thread.
   *
   * @param index wait for changes after it; 0 for an answer at once
   */
  CompletableFuture<?> ask(int agent, long index, Consumer<Reply> told) {
    long started = System.nanoTime();
    long wait = index > 0 ? settings.waitMillis() : 0;
    HttpRequest request = request(settings.agents().get(agent), index, wait);
    return http.sendAsync(request, info -> new Bounded(settings.mostBytes()))
        .handle((response, failure) -> {
          long took = (System.nanoTime() - started) / 1_000_000;
          told.accept(failure != null ? failed(describe(failure), took) : read(response, took));
          return null;
        });
  }

  private HttpRequest request(InetSocketAddress agent, long index, long wait) {
    StringBuilder query = new StringBuilder();
    add(query, "index", index > 0 ? Long.toString(index) : "");
    add(query, "wait", wait > 0 ? wait + "ms" : "");
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
    URI uri = URI.create((settings.tls() == null ? "http" : "https") + "://" + Addresses.text(agent)
        + "/v1/health/service/" + URLEncoder.encode(settings.service(), StandardCharsets.UTF_8) + query);
    HttpRequest.Builder builder = HttpRequest.newBuilder(uri).GET().header("Accept", "application/json")
        .timeout(Duration.ofMillis(wait + wait / 16 + SLACK_MILLIS));
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

  private Reply read(HttpResponse<byte[]> response, long took) {
    long index = header(response, "X-Consul-Index", -1);
    boolean leader = !response.headers().firstValue("X-Consul-KnownLeader").orElse("true").equals("false");
    long lastContact = header(response, "X-Consul-LastContact", 0);
    if (response.statusCode() != 200) {
      return new Reply(response.statusCode(), index, leader, lastContact, List.of(), List.of(),
          "status " + response.statusCode(), took);
    }
    if (index < 0) {
      return failed("an answer without X-Consul-Index", took);
    }
    try {
      List<Mapping.Member> members = new ArrayList<>();
      List<String> unusable = new ArrayList<>();
      for (CatalogEntry entry : parser.read(response.body())) {
        try {
          members.add(settings.mapping().member(entry));
        } catch (Mapping.Unusable e) {
          unusable.add(e.getMessage());
        }
      }
      return new Reply(200, index, leader, lastContact, members, unusable, "", took);
    } catch (ProtocolException e) {
      return failed(e.getMessage(), took);
    }
  }

  private static long header(HttpResponse<?> response, String name, long absent) {
    String text = response.headers().firstValue(name).orElse("");
    try {
      return text.isEmpty() ? absent : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return absent;
    }
  }

  private static Reply failed(String why, long took) {
    return new Reply(0, -1, false, 0, List.of(), List.of(), why, took);
  }

  private static String describe(Throwable failure) {
    Throwable cause = failure.getCause() != null ? failure.getCause() : failure;
    return cause.getClass().getSimpleName() + (cause.getMessage() == null ? "" : ": " + cause.getMessage());
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }

  /** Takes a body up to a bound, and refuses the rest: an answer comes from outside. */
  private static final class Bounded implements HttpResponse.BodySubscriber<byte[]> {
    private final long most;
    private final CompletableFuture<byte[]> body = new CompletableFuture<>();
    private final List<ByteBuffer> parts = new ArrayList<>();
    private Flow.Subscription subscription;
    private long size;

    Bounded(long most) {
      this.most = most;
    }

    @Override
    public CompletionStage<byte[]> getBody() {
      return body;
    }

    @Override
    public void onSubscribe(Flow.Subscription taken) {
      subscription = taken;
      taken.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(List<ByteBuffer> items) {
      for (ByteBuffer item : items) {
        size += item.remaining();
        parts.add(item);
      }
      if (size > most) {
        subscription.cancel();
        parts.clear();
        body.completeExceptionally(new IOException("an answer of more than " + most + " bytes"));
      }
    }

    @Override
    public void onError(Throwable failure) {
      body.completeExceptionally(failure);
    }

    @Override
    public void onComplete() {
      byte[] all = new byte[(int) size];
      int at = 0;
      for (ByteBuffer part : parts) {
        int length = part.remaining();
        part.get(all, at, length);
        at += length;
      }
      body.complete(all);
    }
  }
}
