package org.gatereel.proofs.matrix;

import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.proofs.world.FakeHost;

/** The moments in the life of a call that may not be repeated. */
enum CallStep implements Step<CallScene> {
  CLAIM_ASKED {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      boolean asked =
          action instanceof Action.SendPeer send && send.message() instanceof PeerMessage.ClaimAsk;
      return asked || CLAIM_WRITING.isReached(scene, host, action);
    }
  },
  CLAIM_WRITING {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      return action instanceof Action.Transact transact
          && transact.writes().stream().anyMatch(write -> write.key().startsWith("claim/"));
    }
  },
  CLAIM_WRITTEN {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.CLAIMS_WRITTEN);
    }
  },
  CLAIM_GRANTED {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.CLAIM_GRANTED);
    }
  },
  SENT {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      return action instanceof Action.SendCall;
    }
  },
  ANSWERED {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      return Step.isNote(action, EventCode.CALL_ANSWERED);
    }
  },
  TOLD {
    @Override
    public boolean isReached(CallScene scene, FakeHost host, Action action) {
      return action instanceof Action.SendResponse;
    }
  };
}
