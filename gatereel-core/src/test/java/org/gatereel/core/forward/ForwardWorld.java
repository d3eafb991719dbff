package org.gatereel.core.forward;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.gatereel.core.configuration.AccountConfiguration;
import org.gatereel.core.configuration.Configuration;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.configuration.ServiceConfiguration;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.rollout.RolloutBounds;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.scheduling.SchedulingFeature;
import org.gatereel.core.statement.Announcements;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** One host's forwarding with simulated targets and callers; tests set the time. */
final class ForwardWorld {
  static final String KEY = "key-1";
  static final ServiceName ENGINES = new ServiceName("engines");
  static final ServiceName COUNTERS = new ServiceName("counters");
  static final long TIMEOUT_MILLIS = 20_000;
  private static final long START = 1_000_000;

  final CoreContext context;
  final HostDirectory directory;
  final List<IntConsumer> retryLoanRequests = new ArrayList<>();
  final List<TokenQuery> tokenRequests = new ArrayList<>();
  final ConfigurationHolder configurationHolder;
  final TargetRegistry targets;
  final List<SentCall> sentCalls = new ArrayList<>();
  final List<SentProbe> probes = new ArrayList<>();
  final List<PromptQuery> promptQueries = new ArrayList<>();
  final LoadExchange loads;
  final RolloutControl rollouts;
  final PoisonControl poison;
  final Forwarder forwarder;
  Optional<String> promptPart = Optional.empty();
  OptionalLong lastEventId = OptionalLong.empty();

  /** Runs before each request that is sent to a target. */
  Runnable beforeSend = () -> {};

  /** Content of the requests that are submitted next. */
  String requestContent = "";

  boolean allowsStepFailures;
  private long listVersion;

  /** A request sent to a target, with the means to simulate the response. */
  static final class SentCall {
    final Dispatch dispatch;
    final TargetPort.Listener listener;
    boolean cancelled;

    SentCall(Dispatch dispatch, TargetPort.Listener listener) {
      this.dispatch = dispatch;
      this.listener = listener;
    }

    String target() {
      return dispatch.target().id().value();
    }

    SentCall accept() {
      listener.onSent();
      return this;
    }

    SentCall respondHead(int status, boolean stream) {
      listener.onHead(new Head(status, false, true, stream));
      return this;
    }

    SentCall rejectNotExecuted(int status) {
      accept();
      listener.onHead(new Head(status, true, true, false));
      return this;
    }

    SentCall event(long id) {
      return text(eventText(id));
    }

    SentCall text(String text) {
      listener.onBody(text.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    SentCall respond(int status, String body) {
      accept();
      respondHead(status, false);
      listener.onBody(body.getBytes(StandardCharsets.UTF_8));
      listener.onEnd(ResponseEnd.LAST_CHUNK);
      return this;
    }
  }

  record SentProbe(TargetDescription target, TargetPort.ProbeListener listener) {}

  /** A query for the prompt parts that an engine has cached. */
  record PromptQuery(
      String target,
      Consumer<Announcements> announcements,
      Consumer<Optional<Set<String>>> response) {}

  /** A request for tokens of a rate-limited target, sent to the issuing host. */
  record TokenQuery(
      Address issuer,
      TokenRequest.LimitTokens requested,
      int count,
      Consumer<Optional<TokenGrant>> response) {}

  record Head(
      int status,
      boolean declaresNotExecuted,
      boolean isAuthentic,
      boolean isEventStream,
      Announcements announcements)
      implements ResponseHead {
    Head(int status, boolean declaresNotExecuted, boolean isAuthentic, boolean isEventStream) {
      this(status, declaresNotExecuted, isAuthentic, isEventStream, Announcements.NONE);
    }
  }

  record Request(
      String id,
      String hostName,
      String path,
      Optional<String> key,
      OptionalLong remainingMillis,
      OptionalLong lastEventId,
      long promptTokens,
      Optional<String> promptPart,
      String content)
      implements ForwardRequest {
    @Override
    public String prompt() {
      return promptPart.orElse("");
    }

    @Override
    public HashCode contentDigest() {
      return Hashing.sha256().hashString(path + content, StandardCharsets.UTF_8);
    }
  }

  /** Records what a caller receives, and fails on a second head or final response. */
  static class Caller implements CallerPort {
    final StringBuilder body = new StringBuilder();
    int status = -1;
    boolean hasStream;
    boolean finished;
    boolean aborted;
    Rejection rejection;
    long retryAfterMillis;

    boolean isFinal() {
      return finished || aborted || rejection != null;
    }

    private void checkOpen() {
      if (isFinal()) {
        throw new AssertionError("caller received a second final response");
      }
    }

    @Override
    public void begin(ResponseHead head) {
      checkOpen();
      if (status != -1) {
        throw new AssertionError("caller received a second response head");
      }
      status = head.status();
      hasStream = head.isEventStream();
    }

    @Override
    public void write(byte[] bytes) {
      checkOpen();
      body.append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void finish() {
      checkOpen();
      finished = true;
    }

    @Override
    public void abort() {
      checkOpen();
      aborted = true;
    }

    @Override
    public void reject(Rejection reason, long retryAfterMillis) {
      checkOpen();
      rejection = reason;
      this.retryAfterMillis = retryAfterMillis;
    }
  }

  ForwardWorld() {
    this(20261202);
  }

  ForwardWorld(Set<SchedulingFeature> features) {
    this(20261202, features);
  }

  ForwardWorld(long seed) {
    this(seed, Set.of());
  }

  ForwardWorld(long seed, Set<SchedulingFeature> features) {
    context =
        new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(seed));
    directory = new HostDirectory(context, new Address("10.0.1.1", 7_215));
    configurationHolder =
        new ConfigurationHolder(context, new ConfigurationHolder.Bounds(true, 5_000, 2_000));
    targets = new TargetRegistry(context, new PolicyTable());
    context.advanceTo(START);
    TargetPort port =
        new TargetPort() {
          @Override
          public Call send(Dispatch dispatch, Listener listener) {
            beforeSend.run();
            SentCall call = new SentCall(dispatch, listener);
            sentCalls.add(call);
            return () -> call.cancelled = true;
          }

          @Override
          public void probe(TargetDescription target, long millis, ProbeListener listener) {
            probes.add(new SentProbe(target, listener));
          }

          @Override
          public void listPrompts(
              TargetDescription target,
              long millis,
              Consumer<Announcements> announcements,
              Consumer<Optional<Set<String>>> response) {
            promptQueries.add(new PromptQuery(target.id().value(), announcements, response));
          }
        };
    Address address = new Address("10.0.1.1", 7_215);
    loads =
        new LoadExchange(context, targets, directory, address, (receiver, report, receipt) -> {});
    poison = new PoisonControl(context);
    rollouts = new RolloutControl(context, RolloutBounds.STANDARD);
    forwarder =
        new Forwarder(
            context,
            targets,
            configurationHolder,
            ForwardPolicy.STANDARD.withFeatures(features),
            port,
            new StrictObserver(),
            directory,
            this::requestLoan,
            loads,
            rollouts,
            poison);
    configurationHolder.update(configuration(1).build(), context.now());
    list(
        target("e1", ENGINES, "north"),
        target("e2", ENGINES, "south"),
        target("e3", ENGINES, "west"),
        target("c1", COUNTERS, "north"),
        target("c2", COUNTERS, "south"),
        target("c3", COUNTERS, "west"));
  }

  private void requestLoan(
      Address issuer, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> response) {
    if (subject instanceof TokenRequest.LimitTokens requests) {
      tokenRequests.add(new TokenQuery(issuer, requests, count, response));
    } else {
      retryLoanRequests.add(granted -> response.accept(Optional.of(new TokenGrant(granted, 0))));
    }
  }

  private final class StrictObserver implements ForwardObserver {
    @Override
    public void recordResponse(Route route, long millis) {}

    @Override
    public void recordRejection(Rejection rejection) {}

    @Override
    public void recordInterruption(Route route) {}

    @Override
    public void recordStepFailure(RuntimeException failure) {
      if (!allowsStepFailures) {
        throw new AssertionError("a step of a request threw an exception", failure);
      }
    }
  }

  static Configuration.Builder configuration(long version) {
    return Configuration.builder(version)
        .add(route("/stream/", RouteKind.STREAM, ENGINES, 5))
        .add(route("/safe/", RouteKind.REPEATABLE, COUNTERS, 2))
        .add(route("/once/", RouteKind.ONCE, COUNTERS, 3))
        .add(
            new ServiceConfiguration(
                ENGINES,
                100,
                Optional.of(new ServiceConfiguration.EngineConfiguration(88_000, true))))
        .add(new AccountConfiguration(new AccountId("a1"), Set.of(KEY), 1));
  }

  static Route route(String prefix, RouteKind kind, ServiceName service, int attempts) {
    return new Route(
        "route" + prefix,
        "example",
        prefix,
        kind,
        true,
        false,
        TIMEOUT_MILLIS,
        400,
        attempts,
        1,
        700,
        List.of(new Route.WeightedService(service, 1)));
  }

  static TargetDescription target(String id, ServiceName service, String dataCentre) {
    return new TargetDescription(
        new TargetId(id),
        TargetKind.ENGINE,
        service,
        new DataCentre(dataCentre),
        new Address("10.0.0." + (id.hashCode() & 0xff), 80),
        6,
        LifeState.LIVE);
  }

  /** Lists a new target at the address of an existing one, which stays listed. */
  void restart(String id, String successor) {
    List<TargetDescription> listed = new ArrayList<>();
    for (TargetState state : targets.all()) {
      TargetDescription old = state.description();
      listed.add(old);
      if (old.id().value().equals(id)) {
        listed.add(
            new TargetDescription(
                new TargetId(successor),
                old.kind(),
                old.service(),
                old.dataCentre(),
                old.address(),
                old.slots(),
                old.state()));
      }
    }
    list(listed.toArray(TargetDescription[]::new));
  }

  void list(TargetDescription... descriptions) {
    targets.applyList(new HostList(listVersion++, List.of(), List.of(descriptions)));
  }

  Optional<Exchange> submit(String path, Caller caller) {
    return forwarder.accept(request(path), caller);
  }

  Request request(String path) {
    return new Request(
        "r1",
        "example",
        path,
        Optional.of(KEY),
        OptionalLong.empty(),
        lastEventId,
        8_000,
        promptPart,
        requestContent);
  }

  SentCall lastCall() {
    return sentCalls.get(sentCalls.size() - 1);
  }

  SentProbe lastProbe() {
    return probes.get(probes.size() - 1);
  }

  /** Advances the time millisecond by millisecond, so that timers run in order. */
  void advanceTime(long millis) {
    long end = context.now() + millis;
    while (context.now() < end) {
      context.advanceTo(context.now() + 1);
      context.timers().runDue(context.now());
    }
  }

  void fail(SentCall call, TargetFailure failure) {
    call.listener.onFailure(failure);
  }

  static String eventText(long id) {
    return "id: " + id + "\ndata: x\n\n";
  }
}
