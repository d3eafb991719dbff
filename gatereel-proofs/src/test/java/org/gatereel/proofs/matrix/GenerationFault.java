package org.gatereel.proofs.matrix;

import java.util.List;
import java.util.Set;
import org.gatereel.core.event.Event;
import org.gatereel.proofs.world.FakeEngine;
import org.gatereel.proofs.world.FakeHost;

/** What goes wrong around a generation. */
enum GenerationFault implements Fault<GenerationScene> {
  ENGINE_DIES {
    @Override
    public void inject(GenerationScene scene) {
      scene.engine().die();
    }
  },
  ENGINE_FREEZES_AND_RETURNS {
    @Override
    public void inject(GenerationScene scene) {
      FakeEngine engine = scene.engine();
      engine.freeze();
      scene.later(engine::thaw);
    }
  },
  ENGINE_HALF_OPEN {
    @Override
    public void inject(GenerationScene scene) {
      scene.engine().dieSilently();
    }
  },
  ENGINE_LEAVES {
    @Override
    public void inject(GenerationScene scene) {
      scene.engine().leave();
    }
  },
  ENGINE_SAYS_GOODBYE {
    @Override
    public void inject(GenerationScene scene) {
      scene.engine().sayGoodbye();
    }
  },
  OWNER_DIES {
    @Override
    public void inject(GenerationScene scene) {
      Scene.kill(scene.owner());
    }
  },
  OWNER_PAUSES_AND_RETURNS {
    @Override
    public void inject(GenerationScene scene) {
      scene.pauseFor(scene.owner());
    }
  },
  OWNER_DRAINS {
    @Override
    public void inject(GenerationScene scene) {
      scene.owner().receive(new Event.DrainRequested());
    }
  },
  HOLDER_DIES {
    @Override
    public void inject(GenerationScene scene) {
      Scene.kill(scene.holder());
    }
  },
  HOLDER_PAUSES_AND_RETURNS {
    @Override
    public void inject(GenerationScene scene) {
      scene.pauseFor(scene.holder());
    }
  },
  LINK_CUT {
    @Override
    public void inject(GenerationScene scene) {
      if (scene.holder() != null) {
        scene.world().network().cutBothWays(scene.owner().id(), scene.holder().id());
        scene.later(scene.world().network()::heal);
      }
    }
  },
  LINK_TO_HOLDER_CUT {
    @Override
    public void inject(GenerationScene scene) {
      cutOneWay(scene, scene.owner(), scene.holder());
    }
  },
  LINK_FROM_HOLDER_CUT {
    @Override
    public void inject(GenerationScene scene) {
      cutOneWay(scene, scene.holder(), scene.owner());
    }
  },
  HALL_CUT {
    @Override
    public void inject(GenerationScene scene) {
      scene.world().network().cutHall(scene.owner().dataCentre());
      scene.later(scene.world().network()::heal);
    }
  },
  PLATFORM_DOWN {
    @Override
    public void inject(GenerationScene scene) {
      scene.world().platform().down(true);
      scene.later(() -> scene.world().platform().down(false));
    }
  },
  CALLER_MOVES {
    @Override
    public void inject(GenerationScene scene) {
      List<FakeHost> others =
          scene.world().hosts().stream()
              .filter(host -> host != scene.owner() && !host.isDead())
              .toList();
      scene.caller().moveTo(others.get(others.size() - 1));
    }
  };

  private static void cutOneWay(GenerationScene scene, FakeHost from, FakeHost to) {
    if (from != null && to != null) {
      scene.world().network().cutOneWay(from.id(), to.id());
      scene.later(scene.world().network()::heal);
    }
  }

  private static final Set<String> COPY_UNREACHABLE =
      Set.of(
          HOLDER_DIES.name(),
          HOLDER_PAUSES_AND_RETURNS.name(),
          LINK_CUT.name(),
          LINK_TO_HOLDER_CUT.name(),
          LINK_FROM_HOLDER_CUT.name(),
          HALL_CUT.name());

  /** Returns whether faults can take the owner and every copy, so that a typed loss is right. */
  static boolean mayLose(Set<String> faults) {
    return faults.contains(OWNER_DIES.name())
        && faults.stream().anyMatch(COPY_UNREACHABLE::contains);
  }
}
