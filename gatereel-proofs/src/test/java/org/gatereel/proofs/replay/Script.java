package org.gatereel.proofs.replay;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Set;
import org.gatereel.core.scheduling.SchedulingFeature;

/**
 * What load and which trouble a replay plays; JSON with comments.
 *
 * @param seconds how long callers come; the replay goes on until all have an answer
 * @param prompt tokens of a stream's prompt
 * @param events events of a stream
 * @param streams how many streams callers ask for in a second
 * @param calls how many plain calls they make in a second
 * @param accounts how many client accounts share them; the n-th asks for 1/n of what the first does
 * @param engineSpeed how fast engines are; {@link EngineSpeed#USUAL} if it is left out
 * @param urgent streams of a more urgent route of the same service; none if it is left out
 * @param streamAimMillis the objective of the other streams; 4,500 if it is left out
 * @param engineSpeeds speeds that engines have in turn, relative to the usual one
 * @param engineNoise engines that are slow for moments; none if it is left out
 * @param engineMemory tokens that an engine has room for; without limit if it is left out
 * @param features the scheduling features of hosts
 * @param trouble what happens when
 */
record Script(
    int seconds,
    int dataCentres,
    int hosts,
    int engines,
    int engineSlots,
    int engineQueue,
    int counters,
    int counterSlots,
    int counterQueue,
    int callMillis,
    int prompt,
    int events,
    double streams,
    double calls,
    int accounts,
    EngineSpeed engineSpeed,
    UrgentStreams urgent,
    long streamAimMillis,
    List<Double> engineSpeeds,
    Noise engineNoise,
    long engineMemory,
    Set<SchedulingFeature> features,
    List<Trouble> trouble) {
  private static final long USUAL_AIM_MILLIS = 4_500;

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(JsonParser.Feature.ALLOW_COMMENTS)
          .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  Script {
    engineSpeed = engineSpeed == null ? EngineSpeed.USUAL : engineSpeed;
    urgent = urgent == null ? UrgentStreams.NONE : urgent;
    streamAimMillis = streamAimMillis == 0 ? USUAL_AIM_MILLIS : streamAimMillis;
    engineSpeeds =
        engineSpeeds == null || engineSpeeds.isEmpty() ? List.of(1.0) : List.copyOf(engineSpeeds);
    engineNoise = engineNoise == null ? Noise.NONE : engineNoise;
    features = features == null ? Set.of() : Set.copyOf(features);
    trouble = trouble == null ? List.of() : List.copyOf(trouble);
  }

  /**
   * Streams that are wanted sooner than others.
   *
   * @param perSecond how many callers ask for
   * @param aimMillis the objective of their first event
   */
  record UrgentStreams(double perSecond, long aimMillis) {
    static final UrgentStreams NONE = new UrgentStreams(0, USUAL_AIM_MILLIS);
  }

  /**
   * Moments in which some engines are slow.
   *
   * @param share how many of the engines, at any moment
   * @param times how much longer work takes
   * @param everyMillis how long a moment lasts
   */
  record Noise(double share, double times, long everyMillis) {
    static final Noise NONE = new Noise(0, 1, 1_000);
  }

  /**
   * How fast an engine is.
   *
   * @param stepMicros a step that reads nothing
   * @param tokenMicros what a token of a prompt costs to read
   * @param pieceTokens how much of a prompt is read in one step
   * @param tokensAnEvent how many tokens an event of a stream holds
   */
  record EngineSpeed(long stepMicros, long tokenMicros, int pieceTokens, int tokensAnEvent) {
    /** 8 tokens of a prompt are read in a millisecond. */
    static final EngineSpeed USUAL = new EngineSpeed(3_700, 125, 200, 7);
  }

  /**
   * One thing that happens.
   *
   * @param at second of the replay
   * @param where the number of a data centre or account, from 0
   * @param share how much of what is there, from 0 to 1
   * @param times by how much something grows
   * @param seconds how long it lasts
   */
  record Trouble(double at, Kind kind, int where, double share, double times, double seconds) {}

  /** The two services of a replay. */
  enum ServiceKind {
    ENGINES,
    COUNTERS
  }

  /** What may happen. */
  enum Kind {
    /** Engines of a data centre end, and start again under other names. */
    ENGINES_END {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.endEngines(trouble.where(), trouble.share(), millis(trouble));
      }
    },
    /** A data centre's links to others break, with resets. */
    CUT_RESET {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.cut(trouble.where(), millis(trouble), true);
      }
    },
    /** A data centre's links to others carry nothing, without a word. */
    CUT_SILENT {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.cut(trouble.where(), millis(trouble), false);
      }
    },
    /** Some engines answer each request with an error at once. */
    ENGINE_ERRORS {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.failEngines(trouble.share(), millis(trouble));
      }
    },
    /**
     * One stream of an account, the same each time, comes so many times a second, at any host, and
     * ends each engine that begins to run it; {@code share} 1 has engines send their head before.
     */
    FATAL_STREAM {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.askFatally(trouble.where(), trouble.share() > 0, trouble.times(), millis(trouble));
      }
    },
    /** Some engines name a limit of {@code times} requests a second. */
    ENGINE_LIMITS {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.limitEngines(trouble.share(), trouble.times(), millis(trouble));
      }
    },
    /** Some plain targets name a limit of {@code times} requests a second. */
    COUNTER_LIMITS {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.limitCounters(trouble.share(), trouble.times(), millis(trouble));
      }
    },
    /** Some engines say that they leave, and end later; the list tells nothing of it before. */
    ENGINES_LEAVE {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.leave(ServiceKind.ENGINES, trouble.share(), millis(trouble));
      }
    },
    /** Some plain targets do. */
    COUNTERS_LEAVE {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.leave(ServiceKind.COUNTERS, trouble.share(), millis(trouble));
      }
    },
    /** Some engines turn all away and ask each host for {@code times} seconds of rest. */
    ENGINES_REST {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.rest(ServiceKind.ENGINES, trouble.share(), restMillis(trouble), millis(trouble));
      }
    },
    /** Some plain targets do. */
    COUNTERS_REST {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.rest(ServiceKind.COUNTERS, trouble.share(), restMillis(trouble), millis(trouble));
      }
    },
    /** All accounts ask for more. */
    BURST {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.grow(trouble.times(), millis(trouble));
      }
    },
    /** Callers ask for more streams, but not for more urgent ones. */
    ROUTINE_BURST {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.growRoutine(trouble.times(), millis(trouble));
      }
    },
    /** One account asks for more. */
    HOT_ACCOUNT {
      @Override
      void play(ReplayWorld world, Trouble trouble) {
        world.growAccount(trouble.where(), trouble.times(), millis(trouble));
      }
    };

    abstract void play(ReplayWorld world, Trouble trouble);

    private static long restMillis(Trouble trouble) {
      return Math.round(trouble.times() * 1_000);
    }

    private static long millis(Trouble trouble) {
      return Math.round(trouble.seconds() * 1_000);
    }
  }

  static Script read(InputStream text) throws IOException {
    return MAPPER.readValue(text, Script.class);
  }

  /** Returns the same load before another number of hosts and engines. */
  Script sized(int newHosts, int newEngines) {
    return copy(newHosts, newEngines, features);
  }

  /** Returns the same load with other scheduling features. */
  Script with(Set<SchedulingFeature> newFeatures) {
    return copy(hosts, engines, newFeatures);
  }

  private Script copy(int newHosts, int newEngines, Set<SchedulingFeature> newFeatures) {
    return new Script(
        seconds,
        dataCentres,
        newHosts,
        newEngines,
        engineSlots,
        engineQueue,
        counters,
        counterSlots,
        counterQueue,
        callMillis,
        prompt,
        events,
        streams,
        calls,
        accounts,
        engineSpeed,
        urgent,
        streamAimMillis,
        engineSpeeds,
        engineNoise,
        engineMemory,
        newFeatures,
        trouble);
  }
}
