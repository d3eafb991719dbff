package review;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Reads no faster than a link of a bandwidth. */
final class SlowInput extends FilterInputStream {
  private static final int PIECES_PER_SECOND = 50;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final int bytesPerSecond;
  private long freeAt;

  SlowInput(InputStream input, int bytesPerSecond) {
    super(input);
    this.bytesPerSecond = bytesPerSecond;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    Threads.sleep(freeAt - Threads.nowMillis());
    int count = super.read(bytes, offset, Math.min(length, bytesPerSecond / PIECES_PER_SECOND));
    long busyMillis = (long) Math.max(0, count) * MILLIS_PER_SECOND / bytesPerSecond;
    freeAt = Math.max(freeAt, Threads.nowMillis()) + busyMillis;
    return count;
  }
}
