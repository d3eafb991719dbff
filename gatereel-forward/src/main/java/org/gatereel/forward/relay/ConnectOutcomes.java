package org.gatereel.forward.relay;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import org.gatereel.core.reach.ConnectOutcome;

/** Classifies the result of Netty's connection attempts. */
public final class ConnectOutcomes {
  private ConnectOutcomes() {}

  /** Returns the outcome of an attempt; {@code failure} is null if it succeeded. */
  public static ConnectOutcome of(Throwable failure) {
    if (failure == null) {
      return ConnectOutcome.CONNECTED;
    }
    if (failure instanceof ConnectTimeoutException) {
      return ConnectOutcome.TIMED_OUT;
    }
    return failure instanceof ConnectException ? ConnectOutcome.REFUSED : ConnectOutcome.FAILED;
  }
}
