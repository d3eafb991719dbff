package org.gatereel.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jooby.Context;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangeTest {
  private final List<String> bodies = new ArrayList<>();

  /** A context that only remembers what is sent. */
  private Context context() {
    return (Context)
        Proxy.newProxyInstance(
            Context.class.getClassLoader(),
            new Class<?>[] {Context.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("send") && arguments[0] instanceof byte[] body) {
                bodies.add(new String(body, StandardCharsets.UTF_8));
              }
              return proxy;
            });
  }

  @Test
  void anExchangeThatIsCutOffNeverClaimsThatItsRequestDidNotRun() {
    new Exchange(context(), 1_000, () -> {}).disconnect();
    assertTrue(bodies.get(0).contains("\"outcome\":\"UNKNOWN\""), bodies.toString());
  }
}
