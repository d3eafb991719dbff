package org.gatereel.forward.http;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.forward.ForwardRequest;
import org.gatereel.forward.HeaderNames;

/** A caller's request with its body, detached from the connection's buffers. */
@SuppressWarnings("ArrayRecordComponent") // records are never compared; a list would require a copy
record IncomingRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    byte[] body,
    String id,
    String hostName,
    Optional<String> key,
    OptionalLong remainingMillis,
    OptionalLong lastEventId,
    long promptTokens,
    OptionalLong outputEstimate,
    String prompt,
    Optional<String> promptPart,
    List<String> sharedPromptParts)
    implements ForwardRequest {
  /** Longer numbers are no estimate of any output. */
  private static final int MAX_ESTIMATE_DIGITS = 9;

  /**
   * Reads a request.
   *
   * @throws MalformedRequestException if the request target is not a path, a required header is
   *     missing, or a header is repeated or is not a number
   */
  static IncomingRequest read(FullHttpRequest request, HeaderNames names)
      throws MalformedRequestException {
    HttpHeaders headers = request.headers();
    if (!request.uri().startsWith("/")) {
      throw new MalformedRequestException("request target does not start with /");
    }
    String host = required(headers, HttpHeaderNames.HOST.toString());
    return new IncomingRequest(
        request.method(),
        request.uri(),
        headers,
        ByteBufUtil.getBytes(request.content()),
        required(headers, names.requestId()),
        withoutPort(host),
        single(headers, names.key()),
        number(headers, names.remainingMillis()),
        number(headers, HeaderNames.LAST_EVENT_ID),
        firstNumber(headers, names.tokenCounts()),
        estimate(headers, names.outputEstimate()),
        String.join("\n", headers.getAll(names.promptParts())),
        PromptParts.largest(headers.get(names.promptParts())),
        PromptParts.shared(headers.get(names.promptParts())));
  }

  @Override
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  @Override
  public HashCode contentDigest() {
    return Hashing.sha256()
        .newHasher()
        .putString(method.name(), StandardCharsets.UTF_8)
        .putChar('\n')
        .putString(hostName, StandardCharsets.UTF_8)
        .putString(uri, StandardCharsets.UTF_8)
        .putChar('\n')
        .putBytes(body)
        .hash();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  private static String required(HttpHeaders headers, String name)
      throws MalformedRequestException {
    return single(headers, name)
        .filter(value -> !value.isBlank())
        .orElseThrow(() -> new MalformedRequestException(name + " header is missing"));
  }

  private static Optional<String> single(HttpHeaders headers, String name)
      throws MalformedRequestException {
    List<String> values = headers.getAll(name);
    if (values.size() > 1) {
      throw new MalformedRequestException(name + " header occurs more than once");
    }
    return values.stream().findFirst();
  }

  private static OptionalLong number(HttpHeaders headers, String name)
      throws MalformedRequestException {
    Optional<String> value = single(headers, name);
    return value.isEmpty() ? OptionalLong.empty() : OptionalLong.of(parse(name, value.get()));
  }

  /** Returns an estimate, on which no correctness depends; empty if it cannot be read. */
  private static OptionalLong estimate(HttpHeaders headers, String name) {
    String value = headers.get(name, "");
    boolean isNumber = !value.isEmpty() && value.length() <= MAX_ESTIMATE_DIGITS;
    return isNumber && value.chars().allMatch(digit -> digit >= '0' && digit <= '9')
        ? OptionalLong.of(Long.parseLong(value))
        : OptionalLong.empty();
  }

  private static long firstNumber(HttpHeaders headers, String name)
      throws MalformedRequestException {
    Optional<String> value = single(headers, name);
    return value.isEmpty() ? 0 : parse(name, value.get().split(",", 2)[0]);
  }

  private static long parse(String name, String value) throws MalformedRequestException {
    try {
      return Long.parseLong(value.strip());
    } catch (NumberFormatException e) {
      throw new MalformedRequestException(name + " header is not a number");
    }
  }
}
