package org.gatereel.daemon.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.GatereelException;
import org.junit.jupiter.api.Test;

class KernelTest {
  private final List<String> closed = new ArrayList<>();

  private final class TestService implements AutoCloseable {
    private final String name;
    private final boolean failsToClose;

    private TestService(String name, boolean failsToClose) {
      this.name = name;
      this.failsToClose = failsToClose;
    }

    @Override
    public void close() throws IOException {
      closed.add(name);
      if (failsToClose) {
        throw new IOException("on purpose");
      }
    }
  }

  private static ServiceKey<TestService> key(String name) {
    return new ServiceKey<>(name, TestService.class);
  }

  @Test
  void servicesAreFoundByNameAndClosedInReverseOrder() throws GatereelException {
    try (Kernel kernel = new Kernel()) {
      TestService first = kernel.start(key("first"), services -> new TestService("first", false));
      kernel.start(
          key("second"),
          services -> {
            assertSame(first, services.find(key("first")));
            return new TestService("second", false);
          });
    }
    assertEquals(List.of("second", "first"), closed);
  }

  @Test
  void failureToCloseOneServiceDoesNotKeepOthersOpen() throws GatereelException {
    Kernel kernel = new Kernel();
    kernel.start(key("first"), services -> new TestService("first", false));
    kernel.start(key("second"), services -> new TestService("second", true));
    assertThrows(ServiceException.class, kernel::close);
    assertEquals(List.of("second", "first"), closed);
  }

  @Test
  void unknownOrDuplicateNameThrowsServiceException() throws GatereelException {
    try (Kernel kernel = new Kernel()) {
      assertThrows(ServiceException.class, () -> kernel.find(key("nobody")));
      kernel.start(key("one"), services -> new TestService("one", false));
      assertThrows(
          ServiceException.class,
          () -> kernel.start(key("one"), services -> new TestService("other", false)));
    }
  }
}
