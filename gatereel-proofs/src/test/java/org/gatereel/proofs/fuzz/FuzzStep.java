package org.gatereel.proofs.fuzz;

/** What callers, operators and faults may do in a fuzzing run; each takes two numbers. */
public enum FuzzStep {
  PASS(12, 3000, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.pass(1 + first);
    }
  },
  STREAM(6, 8, 60) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.startStream(first, 1 + second);
    }
  },
  CALL(5, 8, 4) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.startCall(first, second);
    }
  },
  EDIT(3, 8, 1) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.edit(first, second);
    }
  },
  MOVE_CALLER(3, 8, 8) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.moveCaller(first, second);
    }
  },
  KILL_HOST(3, 8, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.killHost(first);
    }
  },
  PAUSE_HOST(3, 8, 6000) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.pauseHost(first, second);
    }
  },
  KILL_ENGINE(2, 8, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.killEngine(first, false);
    }
  },
  ENGINE_VANISHES(1, 8, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.killEngine(first, true);
    }
  },
  FREEZE_ENGINE(2, 8, 6000) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.freezeEngine(first, second);
    }
  },
  KILL_SERVICE(2, 8, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.killService(first);
    }
  },
  FREEZE_SERVICE(2, 8, 6000) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.freezeService(first, second);
    }
  },
  CUT_LINK(2, 8, 8) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.cutLink(first, second, false);
    }
  },
  CUT_ONE_WAY(2, 8, 8) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.cutLink(first, second, true);
    }
  },
  CUT_HALL(1, 8, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.cutHall(first);
    }
  },
  HEAL(3, 0, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.heal();
    }
  },
  NETWORK_MISBEHAVES(1, 10, 20) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.misbehave(first, 10, second);
    }
  },
  PLATFORM_DOWN(1, 0, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.platform(true, false, false, 0);
    }
  },
  PLATFORM_SLOW(1, 0, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.platform(false, true, false, 0);
    }
  },
  STALE_READS(1, 0, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.platform(false, false, true, 0);
    }
  },
  LOSE_ANSWERS(2, 3, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.platform(false, false, false, first);
    }
  },
  PLATFORM_UP(2, 0, 0) {
    @Override
    void apply(FuzzWorld world, int first, int second) {
      world.platform(false, false, false, 0);
    }
  };

  private final int weight;
  private final int mostFirst;
  private final int mostSecond;

  FuzzStep(int weight, int mostFirst, int mostSecond) {
    this.weight = weight;
    this.mostFirst = mostFirst;
    this.mostSecond = mostSecond;
  }

  abstract void apply(FuzzWorld world, int first, int second);

  int weight() {
    return weight;
  }

  int mostFirst() {
    return mostFirst;
  }

  int mostSecond() {
    return mostSecond;
  }

  /** Does a step that was printed, for example {@code PASS 120 0}. */
  static void replay(FuzzWorld world, String printed) {
    String[] words = printed.strip().split(" ", -1);
    valueOf(words[0]).apply(world, Integer.parseInt(words[1]), Integer.parseInt(words[2]));
  }
}
