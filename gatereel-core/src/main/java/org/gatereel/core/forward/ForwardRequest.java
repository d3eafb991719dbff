package org.gatereel.core.forward;

import com.google.common.hash.HashCode;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A whole request as a caller sent it.
 *
 * <p>The core decides by these values alone; method, headers and body are the transport's, which
 * passes them on unchanged.
 */
public interface ForwardRequest {
  /** Returns the caller's id for this request. */
  String id();

  /** Returns the host that the caller named, without a port. */
  String hostName();

  /** Returns the path without the query. */
  String path();

  /** Returns the key that the caller showed. */
  Optional<String> key();

  /** Returns how long the caller waits from now on, in milliseconds. */
  OptionalLong remainingMillis();

  /** Returns the last event that the caller has of an earlier answer. */
  OptionalLong lastEventId();

  /** Returns the tokens of the prompt, or 0 if there is none. */
  long promptTokens();

  /**
   * Returns the name of the largest part of the prompt.
   *
   * <p>An engine that has read the part lately need not read it again for another request that has
   * the same one, as when a caller resumes a stream at another host.
   */
  Optional<String> promptPart();

  /**
   * Returns a digest of what a target is given to work on: method, path with query, and body. It is
   * made anew with each call, in time proportional to the body.
   */
  HashCode contentDigest();
}
