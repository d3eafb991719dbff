package org.gatereel.core.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NotEmpty;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EventIdTest {
  @Property(tries = 200, seed = "1")
  void parsesItsOwnText(
      @ForAll @AlphaChars @NotEmpty String name,
      @ForAll boolean copied,
      @ForAll @IntRange(min = 0) int offset,
      @ForAll long digest)
      throws MalformedEventIdException {
    Optional<HostId> holder = copied ? Optional.of(new HostId("holder-1")) : Optional.empty();
    EventId id =
        new EventId(
            new RequestId(name),
            new HostId(name),
            holder,
            new TargetId(name),
            3,
            2,
            offset,
            digest);
    assertEquals(id, EventId.parse(id.toString()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "17", "1~a~b~c~d~1~1~x~0", "2~a~b~c~d~1~1~1~0", "1~a~b~c~d~1~1~1"})
  void rejectsOtherText(String text) {
    assertThrows(MalformedEventIdException.class, () -> EventId.parse(text));
  }
}
