package org.gatereel.proofs.matrix;

import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.proofs.world.FakeHost;

/** The moments in the life of a generation. */
enum GenerationStep implements Step<GenerationScene> {
  ACCEPTED {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.GENERATION_ACCEPTED);
    }
  },
  ATTEMPT_STARTED {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return action instanceof Action.StartAttempt;
    }
  },
  COPY_OPENED {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.COPY_OPENED);
    }
  },
  FIRST_TOKEN {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return isToken(action, 1);
    }
  },
  MIDDLE {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return isToken(action, GenerationScene.TOKENS / 2);
    }
  },
  LAST_TOKEN {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return isToken(action, GenerationScene.TOKENS);
    }
  },
  ENGINE_FINISHED {
    @Override
    public boolean isReached(GenerationScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.GENERATION_FINISHED);
    }
  };

  private static boolean isToken(Action action, int offset) {
    return action instanceof Action.SendToken send && send.id().offset() == offset;
  }
}
