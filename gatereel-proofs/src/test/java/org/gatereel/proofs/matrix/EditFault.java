package org.gatereel.proofs.matrix;

import org.gatereel.proofs.world.FakeHost;

/** What goes wrong around an edit. */
enum EditFault implements Fault<EditScene> {
  HOST_DIES {
    @Override
    public void inject(EditScene scene) {
      Scene.kill(scene.host());
    }
  },
  HOST_PAUSES_AND_RETURNS {
    @Override
    public void inject(EditScene scene) {
      scene.pauseFor(scene.host());
    }
  },
  HOST_RESTARTS_WHILE_PLATFORM_DOWN {
    @Override
    public void inject(EditScene scene) {
      scene.world().platform().down(true);
      FakeHost other = scene.world().hosts().get(1);
      Scene.kill(other);
      scene.world().after(500, () -> restart(other));
      scene.later(() -> scene.world().platform().down(false));
    }
  },
  PLATFORM_DOWN {
    @Override
    public void inject(EditScene scene) {
      scene.world().platform().down(true);
      scene.later(() -> scene.world().platform().down(false));
    }
  },
  PLATFORM_SLOW {
    @Override
    public void inject(EditScene scene) {
      scene.world().platform().slow(true);
      scene.later(() -> scene.world().platform().slow(false));
    }
  },
  ANSWER_LOST {
    @Override
    public void inject(EditScene scene) {
      scene.world().platform().loseAnswers(2);
    }
  },
  STALE_READS {
    @Override
    public void inject(EditScene scene) {
      scene.world().platform().staleReads(true);
      scene.later(() -> scene.world().platform().staleReads(false));
    }
  },
  HALL_CUT {
    @Override
    public void inject(EditScene scene) {
      scene.world().network().cutHall(scene.host().dataCentre());
      scene.later(scene.world().network()::heal);
    }
  },
  OTHER_HALL_CUT {
    @Override
    public void inject(EditScene scene) {
      FakeHost last = scene.world().hosts().get(scene.world().hosts().size() - 1);
      scene.world().network().cutHall(last.dataCentre());
      scene.later(scene.world().network()::heal);
    }
  },
  RIVAL_ON_SAME_ROW {
    @Override
    public void inject(EditScene scene) {
      scene.rival(EditScene.ROW);
    }
  },
  RIVAL_ON_OTHER_ROW {
    @Override
    public void inject(EditScene scene) {
      scene.rival(EditScene.OTHER_ROW);
    }
  };

  private static void restart(FakeHost host) {
    if (host.isDead()) {
      host.start();
    }
  }
}
