package org.gatereel.proofs.replay;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.forward.CallerPort;
import org.gatereel.core.forward.Exchange;
import org.gatereel.core.forward.ForwardRequest;
import org.gatereel.core.forward.Rejection;
import org.gatereel.core.forward.ResponseHead;

/** One caller with one request: it comes back once, at another host of its data centre. */
final class CallerModel {
  private static final int MOST_TRIES = 2;

  private final ReplayWorld world;
  private final VirtualTime time;
  private final Kind kind;
  private final int account;
  private final int dataCentre;
  private final String name;
  private final long askedAt;
  private int tries;
  private long lastEvent;
  private long firstAt = -1;
  private long lastAt;
  private long longestPause;
  private long endedAt = -1;
  private boolean whole;
  private boolean over;
  private int refusals;
  private boolean heldBack;
  private Optional<FatalContent> fatal = Optional.empty();

  /** What is asked for. */
  enum Kind {
    STREAM("/stream/", 25_000, 700),
    URGENT_STREAM("/urgent/", 25_000, 700),
    CALL("/call/", 1_500, Long.MAX_VALUE);

    private final String path;
    private final long deadlineMillis;
    private final long pauseMillis;

    Kind(String path, long deadlineMillis, long pauseMillis) {
      this.path = path;
      this.deadlineMillis = deadlineMillis;
      this.pauseMillis = pauseMillis;
    }

    String path() {
      return path;
    }

    boolean isStream() {
      return this != CALL;
    }

    long deadlineMillis() {
      return deadlineMillis;
    }
  }

  CallerModel(ReplayWorld world, Kind kind, int account, int dataCentre, String name) {
    this.world = world;
    this.time = world.time();
    this.kind = kind;
    this.account = account;
    this.dataCentre = dataCentre;
    this.name = name;
    this.askedAt = time.millis();
  }

  /** Has this caller ask for what ends engines; its own kind of trying again is the script's. */
  CallerModel askingFor(FatalContent content) {
    fatal = Optional.of(content);
    tries = MOST_TRIES - 1;
    return this;
  }

  boolean isFatal() {
    return fatal.isPresent();
  }

  /** Returns whether a host refused the request because targets had ended under it. */
  boolean isHeldBack() {
    return heldBack;
  }

  Kind kind() {
    return kind;
  }

  int account() {
    return account;
  }

  int dataCentre() {
    return dataCentre;
  }

  long askedAt() {
    return askedAt;
  }

  boolean isWhole() {
    return whole;
  }

  int refusals() {
    return refusals;
  }

  /**
   * Returns how long the first event, or the answer, took from the first try on; -1 if none came.
   */
  long firstMillis() {
    return firstAt < 0 ? -1 : firstAt - askedAt;
  }

  /** Returns how long an event took in the mean, after the first. */
  double eventMillis() {
    return (double) (endedAt - firstAt) / Math.max(1, lastEvent - 1);
  }

  /** Returns whether the answer was whole and in time. */
  boolean isInTime() {
    return whole && firstMillis() <= world.aimMillis(kind) && longestPause <= kind.pauseMillis;
  }

  private long leftMillis() {
    return askedAt + kind.deadlineMillis - time.millis();
  }

  void ask() {
    HostModel host = world.anyHost(dataCentre);
    tries++;
    Try next = new Try(host);
    next.exchange = host.accept(next, next);
    time.atMillis(askedAt + kind.deadlineMillis, next::abandon);
  }

  private void comeBack(long afterMillis) {
    if (tries >= MOST_TRIES || leftMillis() <= afterMillis) {
      over = true;
      return;
    }
    time.after(Math.max(1, afterMillis) * 1_000, this::ask);
  }

  /** One try, as the host sees it. */
  /** One try; what it asks for is the same each time. */
  final class Try implements ForwardRequest, CallerPort {
    private final String id = name + "-" + tries;
    private final long left = leftMillis();
    private final OptionalLong from =
        lastEvent == 0 ? OptionalLong.empty() : OptionalLong.of(lastEvent);
    private final HostModel host;
    private Optional<Exchange> exchange = Optional.empty();
    private boolean ended;

    private Try(HostModel host) {
      this.host = host;
    }

    private void abandon() {
      if (!ended && !over) {
        ended = true;
        over = true;
        exchange.ifPresent(host::callerGone);
      }
    }

    @Override
    public void begin(ResponseHead head) {
      if (kind == Kind.CALL && head.status() == 200) {
        firstAt = time.millis();
      }
      whole = head.status() == 200;
    }

    @Override
    public void write(byte[] bytes) {
      if (kind == Kind.CALL || bytes.length == 0) {
        return;
      }
      if (firstAt < 0) {
        firstAt = time.millis();
      } else {
        longestPause = Math.max(longestPause, time.millis() - lastAt);
      }
      lastAt = time.millis();
      lastEvent++;
    }

    @Override
    public void finish() {
      ended = true;
      over = true;
      endedAt = time.millis();
      whole &= kind == Kind.CALL || lastEvent == world.events();
    }

    @Override
    public void abort() {
      ended = true;
      whole = false;
      comeBack(0);
    }

    @Override
    public void reject(Rejection refusal, long retryAfterMillis) {
      ended = true;
      refusals++;
      heldBack |= refusal == Rejection.HELD_BACK;
      if (refusal.allowsRetry()) {
        comeBack(retryAfterMillis);
      } else {
        over = true;
      }
    }

    @Override
    public String id() {
      return id;
    }

    @Override
    public String hostName() {
      return ReplayWorld.HOST_NAME;
    }

    @Override
    public String path() {
      return kind.path;
    }

    @Override
    public Optional<String> key() {
      return Optional.of(ReplayWorld.key(account));
    }

    @Override
    public OptionalLong remainingMillis() {
      return OptionalLong.of(left);
    }

    @Override
    public OptionalLong lastEventId() {
      return from;
    }

    @Override
    public long promptTokens() {
      return kind.isStream() ? world.prompt() : 0;
    }

    @Override
    public Optional<String> promptPart() {
      return Optional.empty();
    }

    Optional<FatalContent> fatal() {
      return fatal;
    }

    @Override
    public HashCode contentDigest() {
      String content = fatal.map(FatalContent::name).orElse(name);
      return Hashing.sha256().hashString(content, StandardCharsets.UTF_8);
    }
  }
}
