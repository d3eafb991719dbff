package org.gatereel.adapters.targets;

import okhttp3.Headers;
import okhttp3.Response;

/** Determines how the end of a response body is marked. */
final class ResponseFraming {
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /**
   * Returns whether only the close of the connection marks the end of the body.
   *
   * <p>Such a body may be truncated: the connections of a crashed process are closed in the same
   * way.
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

  /** Returns the headers as received; a decompressed response lacks its Content-Length. */
  private static Headers receivedHeaders(Response response) {
    Response network = response.networkResponse();
    return network == null ? response.headers() : network.headers();
  }
}
