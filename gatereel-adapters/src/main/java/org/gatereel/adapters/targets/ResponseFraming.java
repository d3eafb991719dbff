package org.gatereel.adapters.targets;

import okhttp3.Headers;
import okhttp3.Response;

/** Tells by what the end of a target's answer is known. */
final class ResponseFraming {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /**
   * Returns whether only the end of the connection is the end of the answer.
   *
   * <p>That is no word of the target: the connections of a process that dies end in the same way.
   */
  static boolean isCloseDelimited(Response response) {
    boolean withoutBody = response.code() == NO_CONTENT || response.code() == NOT_MODIFIED;
    return !withoutBody && !isChunked(response) && !hasLength(response);
  }

  private static boolean isChunked(Response response) {
    return "chunked".equalsIgnoreCase(receivedHeaders(response).get("Transfer-Encoding"));
  }

  private static boolean hasLength(Response response) {
    String length = receivedHeaders(response).get("Content-Length");
    try {
      return length != null && Long.parseLong(length) >= 0;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  /** The headers as they came: those of an answer that was unpacked no longer have its length. */
  private static Headers receivedHeaders(Response response) {
    Response network = response.networkResponse();
    return network == null ? response.headers() : network.headers();
  }
}
