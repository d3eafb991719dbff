package org.gatereel.core.room;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.HdrHistogram.Histogram;

/**
 * Learns by route how long outputs are, from complete streams.
 *
 * <p>A stream shows its events but not its tokens, of which an event may hold several. Callers'
 * estimates are right in the median, so their ratio to the events gives the tokens of an event.
 */
final class OutputLengths {
  /**
   * Assumed length of the output as a ratio of the prompt's length: some 1,000 tokens after 5,000.
   */
  private static final double DEFAULT_OUTPUT_RATIO = 0.2;

  /** Bounds estimates of callers, some of which are far too long. */
  private static final double LONG_PERCENTILE = 95;

  private static final int MIN_STREAMS = 16;

  /** Streams after which a new sample replaces the one in use, so that changes are followed. */
  private static final int SAMPLE_STREAMS = 256;

  private static final int PRECISION_DIGITS = 2;

  /** Unit of the recorded tokens of an event. */
  private static final double HUNDREDTHS = 100;

  private final Map<String, Samples> samplesByRoute = new HashMap<>();

  private static final class Samples {
    private Histogram events = new Histogram(PRECISION_DIGITS);
    private Histogram tokensPerEvent = new Histogram(PRECISION_DIGITS);
    private Histogram usedEvents = events;
    private Histogram usedTokensPerEvent = tokensPerEvent;

    private void record(long eventCount, OptionalLong estimate) {
      events.recordValue(eventCount);
      if (estimate.isPresent()) {
        tokensPerEvent.recordValue(Math.round(HUNDREDTHS * estimate.getAsLong() / eventCount));
      }
      if (events.getTotalCount() >= SAMPLE_STREAMS) {
        usedEvents = events;
        usedTokensPerEvent = tokensPerEvent;
        events = new Histogram(PRECISION_DIGITS);
        tokensPerEvent = new Histogram(PRECISION_DIGITS);
      }
    }

    private double tokens(double eventCount) {
      double tokens = usedTokensPerEvent.getValueAtPercentile(50) / HUNDREDTHS;
      return eventCount * Math.max(1, tokens);
    }
  }

  /**
   * Records a complete stream.
   *
   * @param eventCount its events; at least one
   * @param estimate the caller's estimate in tokens, if any
   */
  void record(String route, long eventCount, OptionalLong estimate) {
    samplesByRoute.computeIfAbsent(route, any -> new Samples()).record(eventCount, estimate);
  }

  /** Returns the expected tokens of the output of a request. */
  long expectedTokens(String route, long promptTokens, OptionalLong estimate) {
    Samples samples = samplesByRoute.get(route);
    boolean known = samples != null && samples.usedEvents.getTotalCount() >= MIN_STREAMS;
    if (estimate.isPresent()) {
      double longest =
          known
              ? samples.tokens(samples.usedEvents.getValueAtPercentile(LONG_PERCENTILE))
              : Double.POSITIVE_INFINITY;
      return Math.round(Math.min(estimate.getAsLong(), longest));
    }
    if (known && samples.usedTokensPerEvent.getTotalCount() > 0) {
      return Math.round(samples.tokens(samples.usedEvents.getMean()));
    }
    double atLeast = known ? samples.usedEvents.getMean() : 0;
    return Math.round(Math.max(atLeast, DEFAULT_OUTPUT_RATIO * promptTokens));
  }
}
