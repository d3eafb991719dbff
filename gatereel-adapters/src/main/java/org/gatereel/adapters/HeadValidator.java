package org.gatereel.adapters;

import com.google.common.base.CharMatcher;
import java.io.IOException;
import java.net.ProtocolException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Fails calls whose response has a status or a field name that is invalid by RFC 9110. The library
 * accepts any number as a status, and blanks in names.
 */
final class HeadValidator implements Interceptor {
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;
  private static final CharMatcher NAME_CHARACTERS =
      CharMatcher.inRange('a', 'z')
          .or(CharMatcher.inRange('A', 'Z'))
          .or(CharMatcher.inRange('0', '9'))
          .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));

  @Override
  public Response intercept(Chain chain) throws IOException {
    Response response = chain.proceed(chain.request());
    boolean isStatus = response.code() >= MIN_STATUS && response.code() <= MAX_STATUS;
    if (!isStatus || !response.headers().names().stream().allMatch(HeadValidator::isName)) {
      response.close();
      throw new ProtocolException(
          "invalid response head: status "
              + response.code()
              + ", fields "
              + response.headers().names());
    }
    return response;
  }

  private static boolean isName(String text) {
    return !text.isEmpty() && NAME_CHARACTERS.matchesAllOf(text);
  }
}
