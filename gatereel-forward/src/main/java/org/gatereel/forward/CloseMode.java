package org.gatereel.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * Sets whether a caller's connection is reset or closed gracefully when it ends.
 *
 * <p>To a caller without chunk support, a graceful close marks the end of a complete response. The
 * operating system applies the mode even if this process is killed.
 */
public final class CloseMode {
  /** With a linger time of zero, a close discards unsent bytes and resets the connection. */
  private static final int RESET_LINGER_SECONDS = 0;

  /** Disables {@code SO_LINGER}: a close sends all bytes first. */
  private static final int LINGER_DISABLED = -1;

  private CloseMode() {}

  /** Makes the end of a connection a reset, which discards unsent bytes. */
  public static void resetOnClose(Channel channel) {
    setLinger(channel, RESET_LINGER_SECONDS);
  }

  /** Makes the end of a connection a graceful close after all bytes are sent. */
  public static void closeGracefully(Channel channel) {
    setLinger(channel, LINGER_DISABLED);
  }

  private static void setLinger(Channel channel, int lingerSeconds) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, lingerSeconds);
    }
  }
}
