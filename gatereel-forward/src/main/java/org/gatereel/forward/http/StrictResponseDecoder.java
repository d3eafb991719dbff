package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Decodes responses, and rejects status lines and field names that are invalid by RFC 9112.
 *
 * <p>The library's decoder accepts any number as a status, and ends the name of a field at the
 * first blank, so that {@code Name x: 1} would be read as {@code Name: 1}.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
  private static final Pattern REASON = Pattern.compile("[^\\x00-\\x08\\x0a-\\x1f\\x7f]*");

  private final boolean isHead;

  /**
   * Creates a decoder for a connection whose requests have the same method.
   *
   * @param method the method, which determines whether responses have a body
   */
  StrictResponseDecoder(HttpDecoderConfig config, HttpMethod method) {
    super(config);
    this.isHead = method.equals(HttpMethod.HEAD);
  }

  @Override
  protected HttpMessage createMessage(String[] statusLine) {
    check(VERSION, statusLine[0], "version");
    check(STATUS, statusLine[1], "status");
    check(REASON, statusLine[2], "reason");
    return super.createMessage(statusLine);
  }

  private static void check(Pattern pattern, String text, String part) {
    if (!pattern.matcher(text).matches()) {
      throw new IllegalArgumentException("invalid " + part + " in a status line: '" + text + "'");
    }
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (length == 0 || line[start + length] != ':') {
      String name = new String(line, start, length, StandardCharsets.ISO_8859_1);
      throw new IllegalArgumentException("no colon follows the field name '" + name + "'");
    }
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean isFinal = !ResponseFraming.isInterim((HttpResponse) message);
    return (isHead && isFinal) || super.isContentAlwaysEmpty(message);
  }
}
