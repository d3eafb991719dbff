package org.gatereel.forward.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Sets how a caller's connection will end, whoever ends it.
 *
 * <p>To a caller that takes no chunks, the orderly end of its connection is the end of a whole
 * answer. The system keeps the setting, so that it also holds if this process is killed and can
 * decide nothing any more.
 */
final class CloseMode {
  /** Seconds for which a close waits for unsent bytes: none, which makes it a reset. */
  private static final int RESET = 0;

  /** The system's standard: the close is in order, after all bytes. */
  private static final int IN_ORDER = -1;

  private CloseMode() {}

  /** Has a connection end by a reset from now on. Bytes that are not yet sent are lost with it. */
  static void resetOnClose(Channel channel) {
    set(channel, RESET);
  }

  /** Has a connection end in order from now on. */
  static void closeGracefully(Channel channel) {
    set(channel, IN_ORDER);
  }

  private static void set(Channel channel, int linger) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, linger);
    }
  }
}
