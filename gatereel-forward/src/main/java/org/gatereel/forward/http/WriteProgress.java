package org.gatereel.forward.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/** Tells whether bytes that wait for a caller are being written. */
final class WriteProgress {
  private final Channel channel;
  private long pendingBytes = Long.MAX_VALUE;
  private long currentWrittenBytes;

  WriteProgress(Channel channel) {
    this.channel = channel;
  }

  /** Returns whether any byte was written since the last call; true at the first call. */
  boolean hasProgressed() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long newPendingBytes = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    long newWrittenBytes = buffer == null ? 0 : buffer.currentProgress();
    boolean hasProgressed =
        newPendingBytes < pendingBytes || newWrittenBytes != currentWrittenBytes;
    pendingBytes = newPendingBytes;
    currentWrittenBytes = newWrittenBytes;
    return hasProgressed;
  }
}
