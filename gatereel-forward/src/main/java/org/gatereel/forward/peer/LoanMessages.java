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
 * The question of a host that needs something that another one lends: its target, and its answer.
 *
 * <p>Steady clocks of two hosts have nothing in common, so a time travels as its age.
 */
final class LoanMessages {
  static final String PATH = "/loans";

  private static final String SERVICE = "service";
  private static final String TARGET = "target";
  private static final String PER_SECOND = "perSecond";
  private static final String AGE_MILLIS = "ageMillis";
  private static final String DATA_CENTRE = "dataCentre";
  private static final String URGENT = "urgent";
  private static final String PASSED_ON = "passedOn";
  private static final String COUNT = "count";
  private static final String SEPARATOR = " ";

  /** No host needs more at once; a larger number is a mistake. */
  private static final int MOST = 1_000;

  private LoanMessages() {}

  /**
   * What is asked for.
   *
   * @param count how many, at least one
   */
  record Question(TokenRequest subject, int count) {}

  /** Writes a question that is sent at {@code now}. */
  static String write(TokenRequest subject, int count, long now) {
    QueryStringEncoder query = new QueryStringEncoder(PATH);
    if (subject instanceof TokenRequest.RetryTokens repeats) {
      query.addParam(SERVICE, repeats.service().value());
    } else if (subject instanceof TokenRequest.LimitTokens requests) {
      AnnouncedLimit limit = requests.limit().limit();
      query.addParam(TARGET, TargetNames.write(requests.limit().target()));
      query.addParam(PER_SECOND, Double.toString(limit.perSecond()));
      query.addParam(AGE_MILLIS, Long.toString(Math.max(0, now - limit.announcedAt())));
      query.addParam(DATA_CENTRE, requests.dataCentre().value());
      query.addParam(URGENT, Boolean.toString(requests.urgent()));
      query.addParam(PASSED_ON, Boolean.toString(requests.forwarded()));
    }
    query.addParam(COUNT, Integer.toString(count));
    return query.toString();
  }

  /** Reads a question that came at {@code now}; empty if it is none. */
  static Optional<Question> read(String target, long now) {
    Map<String, List<String>> parameters = new QueryStringDecoder(target).parameters();
    Optional<TokenRequest> subject =
        parameters.containsKey(TARGET) ? requests(parameters, now) : repeats(parameters);
    return text(parameters, COUNT)
        .map(Ints::tryParse)
        .filter(count -> count > 0 && count <= MOST)
        .flatMap(count -> subject.map(asked -> new Question(asked, count)));
  }

  private static Optional<TokenRequest> repeats(Map<String, List<String>> parameters) {
    return text(parameters, SERVICE)
        .map(name -> new TokenRequest.RetryTokens(new ServiceName(name)));
  }

  private static Optional<TokenRequest> requests(Map<String, List<String>> parameters, long now) {
    Optional<String> target = text(parameters, TARGET);
    Optional<String> dataCentre = text(parameters, DATA_CENTRE);
    Optional<Double> perSecond =
        text(parameters, PER_SECOND).map(Doubles::tryParse).filter(rate -> rate >= 0);
    Optional<Long> age =
        text(parameters, AGE_MILLIS).map(Longs::tryParse).filter(millis -> millis >= 0);
    if (target.isEmpty() || dataCentre.isEmpty() || perSecond.isEmpty() || age.isEmpty()) {
      return Optional.empty();
    }
    AnnouncedLimit limit = new AnnouncedLimit(perSecond.get(), now - age.get());
    return Optional.of(
        new TokenRequest.LimitTokens(
            new LimitFact(TargetNames.read(target.get()), limit),
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

  static String writeAnswer(TokenGrant loan) {
    return loan.granted() + SEPARATOR + loan.retryAfterMillis();
  }

  /** Reads what was lent; empty if that is no answer. */
  static Optional<TokenGrant> readAnswer(byte[] body) {
    String[] parts = new String(body, StandardCharsets.UTF_8).strip().split(SEPARATOR, 2);
    Integer granted = Ints.tryParse(parts[0]);
    Long again = parts.length < 2 ? null : Longs.tryParse(parts[1]);
    boolean valid = granted != null && again != null && granted >= 0 && again >= 0;
    return valid ? Optional.of(new TokenGrant(granted, again)) : Optional.empty();
  }
}
