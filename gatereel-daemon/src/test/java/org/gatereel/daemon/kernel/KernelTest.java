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

  private final class Part implements AutoCloseable {
    private final String name;
    private final boolean failsToClose;

    private Part(String name, boolean failsToClose) {
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

  private static ServiceKey<Part> key(String name) {
    return new ServiceKey<>(name, Part.class);
  }

  @Test
  void servicesAreFoundByNameAndClosedInReverse() throws GatereelException {
    try (Kernel kernel = new Kernel()) {
      Part first = kernel.start(key("first"), found -> new Part("first", false));
      kernel.start(
          key("second"),
          found -> {
            assertSame(first, found.find(key("first")));
            return new Part("second", false);
          });
    }
    assertEquals(List.of("second", "first"), closed);
  }

  @Test
  void aServiceThatFailsToCloseDoesNotKeepTheOthersOpen() throws GatereelException {
    Kernel kernel = new Kernel();
    kernel.start(key("first"), found -> new Part("first", false));
    kernel.start(key("second"), found -> new Part("second", true));
    assertThrows(ServiceException.class, kernel::close);
    assertEquals(List.of("second", "first"), closed);
  }

  @Test
  void aNameThatIsUnknownOrTakenIsATypedFailure() throws GatereelException {
    try (Kernel kernel = new Kernel()) {
      assertThrows(ServiceException.class, () -> kernel.find(key("nobody")));
      kernel.start(key("one"), found -> new Part("one", false));
      assertThrows(
          ServiceException.class,
          () -> kernel.start(key("one"), found -> new Part("other", false)));
    }
  }
}
