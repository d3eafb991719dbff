package org.gatereel.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

class UnknownHeadersTest {
  private static final ServiceName SERVICE = new ServiceName("counters");
  private static final TargetId TARGET = new TargetId("t1", 7);

  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final UnknownHeaders unknown = new UnknownHeaders(context);

  private List<Action.LogEvent> notes() {
    return context.takeActions().stream().map(action -> (Action.LogEvent) action).toList();
  }

  @Test
  void logsEachHeaderOnceForEachService() {
    for (int response = 0; response < 3; response++) {
      unknown.log(SERVICE, TARGET, Map.of("x-new", "value " + response));
      unknown.log(new ServiceName("engines"), TARGET, Map.of("x-new", "value"));
    }

    List<Action.LogEvent> notes = notes();
    assertEquals(2, notes.size());
    assertEquals(EventCode.TARGET_HEADER_UNKNOWN, notes.get(0).code());
    assertEquals("service=counters header=x-new value=value 0", notes.get(0).detail());
  }

  @Test
  void boundsTheNumberAndLengthOfLogLines() {
    for (int name = 0; name < 10_000; name++) {
      unknown.log(SERVICE, TARGET, Map.of("x-" + name, "v".repeat(1_000)));
    }

    List<Action.LogEvent> notes = notes();
    assertTrue(notes.size() <= 200);
    notes.forEach(note -> assertTrue(note.detail().length() < 150));
  }
}
