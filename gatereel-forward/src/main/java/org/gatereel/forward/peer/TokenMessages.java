package org.gatereel.forward.peer;

import com.google.common.primitives.Doubles;
import com.google.common.primitives.Ints;
import com.google.common.primitives.Longs;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;

/**
 * Encodes requests for retry and limit tokens as query strings, and the responses as text.
 *
 * <p>Times are sent as ages, because the monotonic clocks of two hosts are unrelated.
 */
final class TokenMessages {
  static final String PATH = "/loans";

  private static final String SERVICE = "service";
  private static final String LENDER_OF = "lenderOf";
  private static final String TARGET = "target";
  private static final String PER_SECOND = "perSecond";
  private static final String AGE_MILLIS = "ageMillis";
  private static final String DATA_CENTRE = "dataCentre";
  private static final String URGENT = "urgent";
  private static final String PASSED_ON = "passedOn";
  private static final String COUNT = "count";
  private static final String ELSEWHERE = "elsewhere";
  private static final String SEPARATOR = " ";

  /** A request for more tokens is malformed. */
  private static final int MAX_TOKENS_PER_REQUEST = 1_000;

  private TokenMessages() {}

  /**
   * A request for tokens.
   *
   * @param count the number of tokens, at least 1
   */
  record Query(TokenRequest subject, int count) {}

  /** Returns the request target of a request sent at {@code nowMillis}. */
  static String writeQuery(TokenRequest subject, int count, long nowMillis) {
    QueryStringEncoder query = new QueryStringEncoder(PATH);
    if (subject instanceof TokenRequest.RetryTokens retryTokens) {
      query.addParam(SERVICE, retryTokens.service().value());
      query.addParam(ELSEWHERE, Boolean.toString(retryTokens.elsewhere()));
    } else if (subject instanceof TokenRequest.UnusedRetryTokens unused) {
      query.addParam(LENDER_OF, unused.service().value());
    } else if (subject instanceof TokenRequest.LimitTokens limitTokens) {
      AnnouncedLimit limit = limitTokens.limit().limit();
      query.addParam(TARGET, TargetIdCodec.encode(limitTokens.limit().target()));
      query.addParam(PER_SECOND, Double.toString(limit.perSecond()));
      query.addParam(AGE_MILLIS, Long.toString(Math.max(0, nowMillis - limit.announcedAt())));
      query.addParam(DATA_CENTRE, limitTokens.dataCentre().value());
      query.addParam(URGENT, Boolean.toString(limitTokens.urgent()));
      query.addParam(PASSED_ON, Boolean.toString(limitTokens.forwarded()));
    }
    query.addParam(COUNT, Integer.toString(count));
    return query.toString();
  }

  /** Reads a request received at {@code nowMillis}; empty if it is malformed. */
  static Optional<Query> readQuery(String requestTarget, long nowMillis) {
    Map<String, List<String>> parameters = new QueryStringDecoder(requestTarget).parameters();
    Optional<TokenRequest> subject =
        parameters.containsKey(TARGET)
            ? limitTokens(parameters, nowMillis)
            : retryTokens(parameters);
    return text(parameters, COUNT)
        .map(Ints::tryParse)
        .filter(count -> count > 0 && count <= MAX_TOKENS_PER_REQUEST)
        .flatMap(count -> subject.map(found -> new Query(found, count)));
  }

  private static Optional<TokenRequest> retryTokens(Map<String, List<String>> parameters) {
    Optional<TokenRequest> unused =
        text(parameters, LENDER_OF)
            .map(name -> new TokenRequest.UnusedRetryTokens(new ServiceName(name)));
    return unused.or(
        () ->
            text(parameters, SERVICE)
                .map(
                    name ->
                        new TokenRequest.RetryTokens(
                            new ServiceName(name), flag(parameters, ELSEWHERE))));
  }

  private static Optional<TokenRequest> limitTokens(
      Map<String, List<String>> parameters, long nowMillis) {
    Optional<String> target = text(parameters, TARGET);
    Optional<String> dataCentre = text(parameters, DATA_CENTRE);
    Optional<Double> perSecond =
        text(parameters, PER_SECOND).map(Doubles::tryParse).filter(rate -> rate >= 0);
    Optional<Long> age =
        text(parameters, AGE_MILLIS).map(Longs::tryParse).filter(millis -> millis >= 0);
    if (target.isEmpty() || dataCentre.isEmpty() || perSecond.isEmpty() || age.isEmpty()) {
      return Optional.empty();
    }
    AnnouncedLimit limit = new AnnouncedLimit(perSecond.get(), nowMillis - age.get());
    return Optional.of(
        new TokenRequest.LimitTokens(
            new LimitFact(TargetIdCodec.decode(target.get()), limit),
            new DataCentre(dataCentre.get()),
            flag(parameters, URGENT),
            flag(parameters, PASSED_ON)));
  }

  private static Optional<String> text(Map<String, List<String>> parameters, String name) {
    return parameters.getOrDefault(name, List.of()).stream()
        .findFirst()
        .filter(value -> !value.isBlank());
  }

  private static boolean flag(Map<String, List<String>> parameters, String name) {
    return text(parameters, name).map(Boolean::parseBoolean).orElse(false);
  }

  static String writeResponse(TokenGrant grant) {
    return grant.granted() + SEPARATOR + grant.retryAfterMillis();
  }

  /** Reads the response to a request for tokens; empty if it is malformed. */
  static Optional<TokenGrant> readResponse(byte[] body) {
    String[] parts = new String(body, StandardCharsets.UTF_8).strip().split(SEPARATOR, 2);
    Integer granted = Ints.tryParse(parts[0]);
    Long retryAfterMillis = parts.length < 2 ? null : Longs.tryParse(parts[1]);
    boolean valid =
        granted != null && retryAfterMillis != null && granted >= 0 && retryAfterMillis >= 0;
    return valid ? Optional.of(new TokenGrant(granted, retryAfterMillis)) : Optional.empty();
  }
}
