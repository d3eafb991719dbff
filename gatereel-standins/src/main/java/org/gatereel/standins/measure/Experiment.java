package org.gatereel.standins.measure;

/** The experiments of {@code bin/measure}. */
enum Experiment {
  RESUME("resume latency by policy, kind of death and length so far, against the floor") {
    @Override
    void run(Bench bench, long seed, Result result) throws Exception {
      new ResumeExperiment(bench, seed, result).run();
    }
  },
  OVERHEAD("added latency of calls and tokens against asking the target directly") {
    @Override
    void run(Bench bench, long seed, Result result) throws Exception {
      new OverheadExperiment(bench, result).run();
    }
  },
  PLACEMENT("placement policies side by side") {
    @Override
    void run(Bench bench, long seed, Result result) throws Exception {
      new PlacementExperiment(bench, seed, result).run();
    }
  },
  FLOOD("small requests of others while one account floods") {
    @Override
    void run(Bench bench, long seed, Result result) throws Exception {
      new FloodExperiment(bench, seed, result).run();
    }
  },
  EDITS("time until an accepted edit is in force on every host") {
    @Override
    void run(Bench bench, long seed, Result result) throws Exception {
      new EditsExperiment(bench, result).run();
    }
  },
  COST("control cost of an idle host, and the cost of a thousand tokens") {
    @Override
    void run(Bench bench, long seed, Result result) throws Exception {
      new CostExperiment(bench, result).run();
    }
  };

  private final String meaning;

  Experiment(String meaning) {
    this.meaning = meaning;
  }

  String meaning() {
    return meaning;
  }

  abstract void run(Bench bench, long seed, Result result) throws Exception;
}
