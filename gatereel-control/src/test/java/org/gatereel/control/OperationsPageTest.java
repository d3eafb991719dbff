package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.gatereel.core.choice.CostTerm;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.Rejection;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.forward.ResponseEndVerdict;
import org.gatereel.core.reach.RelayRefusal;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.junit.jupiter.api.Test;

/** Checks that the names on the operations page exist in the code. */
class OperationsPageTest {
  private static final Pattern NAME = Pattern.compile("\\b[A-Z]+(?:_[A-Z]+)+\\b");
  private static final Set<String> OTHER_NAMES = Set.of("GATEREEL_KEY", "LOG_DROPPED");

  private static Stream<String> names(Enum<?>[] values) {
    return Stream.of(values).map(Enum::name);
  }

  @Test
  void everyNameOnThePageExistsInTheCode() throws IOException {
    String page = Files.readString(Path.of("../docs/OPERATIONS.md"));
    Set<String> known =
        Stream.of(
                names(EventCode.values()),
                names(Rejection.values()),
                names(SchedulingFeature.values()),
                names(CostTerm.values()),
                names(TargetFailure.values()),
                names(ResponseEnd.values()),
                names(ResponseEndVerdict.values()),
                names(RelayRefusal.values()))
            .flatMap(all -> all)
            .collect(Collectors.toCollection(TreeSet::new));
    known.addAll(OTHER_NAMES);

    List<String> unknown =
        NAME.matcher(page)
            .results()
            .map(match -> match.group())
            .filter(n -> !known.contains(n))
            .toList();

    assertTrue(unknown.isEmpty(), "no code writes " + unknown);
  }

  @Test
  void everyRejectionThatAllowsRetryIsExplained() throws IOException {
    String page = Files.readString(Path.of("../docs/OPERATIONS.md"));
    for (Rejection refusal : Rejection.values()) {
      assertTrue(!refusal.allowsRetry() || page.contains(refusal.name()), refusal.name());
    }
  }
}
