package org.gatereel.proofs.matrix;

import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.proofs.world.FakeHost;

/** The moments in the life of an edit. */
enum EditStep implements Step<EditScene> {
  WRITING {
    @Override
    public boolean isReached(EditScene scene, FakeHost host, Action action) {
      return action instanceof Action.Transact transact
          && transact.writes().stream().anyMatch(write -> write.key().startsWith("policy/"));
    }
  },
  ACCEPTED {
    @Override
    public boolean isReached(EditScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.REVISION_IN_FORCE);
    }
  },
  CONFIRMED {
    @Override
    public boolean isReached(EditScene scene, FakeHost host, Action action) {
      return action instanceof Action.ConfirmEdit;
    }
  },
  PASSED_ON {
    @Override
    public boolean isReached(EditScene scene, FakeHost host, Action action) {
      return action instanceof Action.SendPeer send
          && send.message() instanceof PeerMessage.EditsPush;
    }
  };
}
