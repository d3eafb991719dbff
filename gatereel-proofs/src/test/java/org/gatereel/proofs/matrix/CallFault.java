package org.gatereel.proofs.matrix;

import org.gatereel.proofs.world.FakeService;

/** What goes wrong around a call that may not be repeated. */
enum CallFault implements Fault<CallScene> {
  TARGET_DIES(false) {
    @Override
    public void inject(CallScene scene) {
      scene.target().die();
    }
  },
  TARGET_DIES_AFTER_RUNNING(false) {
    @Override
    public void inject(CallScene scene) {
      scene.world().after(6, scene.target()::die);
    }
  },
  TARGET_FREEZES_AND_RETURNS(false) {
    @Override
    public void inject(CallScene scene) {
      FakeService target = scene.target();
      target.freeze();
      scene.later(target::thaw);
    }
  },
  TARGET_LEAVES(true) {
    @Override
    public void inject(CallScene scene) {
      scene.target().leave();
    }
  },
  OWNER_DIES(false) {
    @Override
    public void inject(CallScene scene) {
      Scene.kill(scene.owner());
    }
  },
  OWNER_PAUSES_AND_RETURNS(false) {
    @Override
    public void inject(CallScene scene) {
      scene.pauseFor(scene.owner());
    }
  },
  WRITER_DIES(false) {
    @Override
    public void inject(CallScene scene) {
      Scene.kill(scene.writer());
    }
  },
  WRITER_PAUSES_AND_RETURNS(false) {
    @Override
    public void inject(CallScene scene) {
      scene.pauseFor(scene.writer());
    }
  },
  PLATFORM_DOWN(true) {
    @Override
    public void inject(CallScene scene) {
      scene.world().platform().down(true);
      scene.later(() -> scene.world().platform().down(false));
    }
  },
  PLATFORM_SLOW(true) {
    @Override
    public void inject(CallScene scene) {
      scene.world().platform().slow(true);
      scene.later(() -> scene.world().platform().slow(false));
    }
  },
  ANSWER_LOST(true) {
    @Override
    public void inject(CallScene scene) {
      scene.world().platform().loseAnswers(1);
    }
  },
  LINK_CUT(true) {
    @Override
    public void inject(CallScene scene) {
      scene.world().network().cutBothWays(scene.owner().id(), scene.writer().id());
      scene.later(scene.world().network()::heal);
    }
  },
  HALL_CUT(true) {
    @Override
    public void inject(CallScene scene) {
      scene.world().network().cutHall(scene.owner().dataCentre());
      scene.later(scene.world().network()::heal);
    }
  },
  SENT_AGAIN_ELSEWHERE(true) {
    @Override
    public void inject(CallScene scene) {
      scene.sendAgain();
    }
  };

  private final boolean leavesTheCallWhole;

  CallFault(boolean leavesTheCallWhole) {
    this.leavesTheCallWhole = leavesTheCallWhole;
  }

  /** Returns whether, this fault alone, the caller has a right to an answer in the end. */
  boolean leavesTheCallWhole() {
    return leavesTheCallWhole;
  }
}
