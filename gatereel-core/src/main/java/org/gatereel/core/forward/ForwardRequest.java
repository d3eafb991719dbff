package org.gatereel.core.forward;

import com.google.common.hash.HashCode;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A complete request as a caller sent it.
 *
 * <p>Forwarding decisions use these values only; method, headers and body stay with the transport,
 * which forwards them unchanged.
 */
public interface ForwardRequest {
  /** Returns the id that the caller gave the request. */
  String id();

  /** Returns the host name without a port. */
  String hostName();

  /** Returns the path without the query. */
  String path();

  /** Returns the API key. */
  Optional<String> key();

  /** Returns how long the caller waits from now on, in milliseconds. */
  OptionalLong remainingMillis();

  /** Returns the id of the last event that the caller received in an earlier response. */
  OptionalLong lastEventId();

  /** Returns the number of tokens of the prompt, or 0 without one. */
  long promptTokens();

  /** Returns the caller's estimate of the tokens of the output; empty without one. */
  default OptionalLong outputEstimate() {
    return OptionalLong.empty();
  }

  /**
   * Returns the name of the largest part of the prompt.
   *
   * <p>An engine that has the part cached can skip its prefill for a later request with the same
   * part, such as a stream resumed at another host.
   */
  Optional<String> promptPart();

  /** Returns the prompt that headers name, as the caller has sent it; empty if none do. */
  default String prompt() {
    return "";
  }

  /**
   * Returns the names of the parts of the prompt in order, without the last one, which belongs to
   * this request or its session alone.
   */
  default List<String> sharedPromptParts() {
    return List.of();
  }

  /**
   * Returns a digest of method, host name, path with query, and body. It is computed on each call,
   * in time proportional to the body.
   */
  HashCode contentDigest();
}
