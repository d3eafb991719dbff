package org.gatereel.daemon.callers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jooby.Context;
import io.jooby.Route;
import io.jooby.Sender;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.EntryHost;
import org.gatereel.core.action.Action;
import org.gatereel.core.edit.TableEditCodec;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;
import org.gatereel.daemon.control.ControlLoop;
import org.gatereel.daemon.events.EventLog;
import org.gatereel.daemon.settings.SettingsReader;
import org.junit.jupiter.api.Test;

/** A response must not be recorded as delivered to a caller that does not read it. */
class SlowReaderTest {
  private static final String CREDENTIAL = "ab".repeat(32);
  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final int TOKENS = 2_000;
  private static final int MAX_BUFFERED_BYTES = 65_536;
  private static final long TIMEOUT_SECONDS = 30;
  private static final String SETTINGS =
      """
      {"host": "entry-1", "dataCentre": "ollur",
       "httpAddress": {"ip": "127.0.0.1", "port": 8080},
       "peerAddress": {"ip": "127.0.0.1", "port": 8081},
       "platform": {"ip": "127.0.0.1", "port": 9000}, "logLevel": "WARNING"}
      """;

  private final TreeMap<String, String> table = new TreeMap<>();
  private final BlockingQueue<EventCode> recordedCodes = new LinkedBlockingQueue<>();
  private final List<String> written = new CopyOnWriteArrayList<>();
  private final CallerExchanges exchanges =
      new CallerExchanges(MAX_BUFFERED_BYTES, event -> this.loop.post(event));
  private final EntryHost core =
      new EntryHost(new HostId("entry-1"), new DataCentre("ollur"), new Random(1));
  private ControlLoop loop;

  private void seed(long revision, RowKind kind, String name, Map<String, String> cells) {
    Row row = new Row(new RowKey(kind, name), revision, false, new TreeMap<>(cells));
    String text = TableEditCodec.encode(new TableEdit(row, "seed-" + revision, "seed", 0));
    table.put("policy/row/" + row.key(), text);
    table.put("policy/history/" + String.format("%012d", revision), text);
    table.put("policy/revision", Long.toString(revision));
  }

  private void run(Action action) {
    if (action instanceof Action.ReadRows read) {
      TreeMap<String, String> found = new TreeMap<>(table);
      found.keySet().retainAll(read.keys());
      loop.post(new Event.ReadEnded(read.ticket(), new ReadResult.Rows(found)));
    } else if (action instanceof Action.ScanRows scan) {
      TreeMap<String, String> found = new TreeMap<>(table);
      found
          .keySet()
          .removeIf(key -> !key.startsWith(scan.prefix()) || key.compareTo(scan.after()) <= 0);
      loop.post(new Event.ReadEnded(scan.ticket(), new ReadResult.Rows(found)));
    } else if (action instanceof Action.StartAttempt start) {
      queueCompleteResponse(start);
    } else if (action instanceof Action.SendToken send) {
      exchanges.sendToken(send);
    } else if (action instanceof Action.LogEvent note) {
      recordedCodes.add(note.code());
    } else {
      exchanges.execute(action);
    }
  }

  /** Queues the complete response of an engine; runs on the control thread. */
  private void queueCompleteResponse(Action.StartAttempt start) {
    for (int offset = 0; offset < TOKENS; offset++) {
      String token = "token " + offset;
      loop.post(new Event.TokenArrived(start.spec().request(), start.attempt(), offset, token, 1));
    }
    loop.post(new Event.AttemptFinished(start.spec().request(), start.attempt(), TOKENS));
  }

  /** Returns the context of a caller that reads nothing: no write is ever reported as done. */
  private Context contextThatReadsNothing() {
    Sender sender =
        proxy(
            Sender.class,
            (method, arguments) -> {
              if (method.equals("write") && arguments[0] instanceof byte[] bytes) {
                written.add(new String(bytes, StandardCharsets.UTF_8));
              }
              return null;
            });
    Context detached =
        proxy(
            Context.class, (method, arguments) -> method.equals("responseSender") ? sender : null);
    return proxy(
        Context.class,
        (method, arguments) ->
            method.equals("detach") ? ((Route.Handler) arguments[0]).apply(detached) : null);
  }

  private interface Call {
    Object with(String method, Object[] arguments) throws Exception;
  }

  /** Returns a proxy that invokes {@code call} and returns itself where the result is null. */
  private static <T> T proxy(Class<T> type, Call call) {
    return type.cast(
        Proxy.newProxyInstance(
            type.getClassLoader(),
            new Class<?>[] {type},
            (proxy, method, arguments) -> {
              Object result = call.with(method.getName(), arguments);
              boolean itself = result == null && method.getReturnType().isInstance(proxy);
              return itself ? proxy : result;
            }));
  }

  private static TargetDescription engine() {
    return new TargetDescription(
        new TargetId("engine-1"),
        TargetKind.ENGINE,
        SERVICE,
        new DataCentre("ollur"),
        new Address("127.0.0.1", 1),
        8,
        LifeState.LIVE);
  }

  /** Starts the host with a client account, a service and an engine. */
  private void startWithOneEngine(ControlLoop control) throws Exception {
    seed(1, RowKind.ACCOUNT, "ward", Map.of("key_sha256", CREDENTIAL));
    seed(2, RowKind.SERVICE, "assistant", Map.of("kind", "generation"));
    loop = control;
    control.start(List.of());
    control.post(new Event.HostListReceived(new HostList(1, List.of(), List.of(engine()))));
    while (!control.query(EntryHost::isReady).get(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      Thread.onSpinWait();
    }
  }

  /** Returns the recorded events up to the end of the generation. */
  private List<EventCode> eventsUntilFinished() throws InterruptedException {
    List<EventCode> seen = new CopyOnWriteArrayList<>();
    while (!seen.contains(EventCode.GENERATION_FINISHED)) {
      EventCode next = recordedCodes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(next != null, "the generation did not end: " + seen);
      seen.add(next);
    }
    return seen;
  }

  @Test
  void disconnectIsHandledBeforeQueuedEngineEvents() throws Exception {
    // The disconnect must be handled before the queued rest of the response, which would otherwise
    // be recorded as delivered.
    try (EventLog events = new EventLog(SettingsReader.parse(SETTINGS));
        ControlLoop control = new ControlLoop(core, events, this::run)) {
      startWithOneEngine(control);
      exchanges.accept(
          contextThatReadsNothing(),
          caller -> new Event.GenerationRequested(caller, CREDENTIAL, SERVICE, "long", TOKENS));
      List<EventCode> seen = eventsUntilFinished();
      assertTrue(seen.contains(EventCode.CALLER_GONE), seen.toString());
      control.query(EntryHost::openCount).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertEquals(
          0, recordedCodes.stream().filter(EventCode.GENERATION_DELIVERED::equals).count());
    }
    String last = written.get(written.size() - 1);
    assertTrue(last.contains("event: problem") && last.contains("slow-reader"), last);
    assertTrue(written.stream().noneMatch(event -> event.contains("event: end")));
  }

  @Test
  void disconnectBeforeTheRequestIsHandledCancelsTheRequest() throws Exception {
    // If the disconnect were handled only before the caller's queued request, it would be ignored
    // and the generation would run to its end.
    try (EventLog events = new EventLog(SettingsReader.parse(SETTINGS));
        ControlLoop control = new ControlLoop(core, events, this::run)) {
      startWithOneEngine(control);
      CountDownLatch posted = new CountDownLatch(1);
      CompletableFuture<Boolean> busy = control.query(host -> awaitQuietly(posted));
      control.post(new Event.GenerationRequested(7, CREDENTIAL, SERVICE, "long", TOKENS));
      control.post(new Event.CallerDisconnected(7));
      posted.countDown();
      assertTrue(busy.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));

      List<EventCode> seen = eventsUntilFinished();
      assertTrue(seen.contains(EventCode.CALLER_GONE), seen.toString());
    }
  }

  private static boolean awaitQuietly(CountDownLatch latch) {
    try {
      return latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
