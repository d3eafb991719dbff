package org.gatereel.forward.peer;

import com.google.common.primitives.Ints;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.gatereel.core.model.ServiceName;

/**
 * The question of a host that needs repeats of a service's requests: its target, and its answer.
 */
final class RepeatLending {
  static final String PATH = "/repeats";

  private static final String SERVICE = "service";
  private static final String COUNT = "count";

  /** No host needs more at once; a larger number is a mistake. */
  private static final int MOST = 1_000;

  private RepeatLending() {}

  /**
   * What is asked for.
   *
   * @param count how many repeats, at least one
   */
  record Question(ServiceName service, int count) {}

  static String write(Question question) {
    QueryStringEncoder query = new QueryStringEncoder(PATH);
    query.addParam(SERVICE, question.service().value());
    query.addParam(COUNT, Integer.toString(question.count()));
    return query.toString();
  }

  /** Reads a question; empty if it is none. */
  static Optional<Question> read(String target) {
    var parameters = new QueryStringDecoder(target).parameters();
    Optional<String> service = parameters.getOrDefault(SERVICE, List.of()).stream().findFirst();
    Optional<Integer> count =
        parameters.getOrDefault(COUNT, List.of()).stream().findFirst().map(Ints::tryParse);
    return service
        .filter(name -> !name.isBlank())
        .flatMap(
            name ->
                count
                    .filter(number -> number > 0 && number <= MOST)
                    .map(number -> new Question(new ServiceName(name), number)));
  }

  /** Reads an answer, the number that was lent; none if it is no number. */
  static int readAnswer(byte[] body) {
    Integer lent = Ints.tryParse(new String(body, StandardCharsets.UTF_8).strip());
    return lent == null ? 0 : Math.max(0, lent);
  }
}
