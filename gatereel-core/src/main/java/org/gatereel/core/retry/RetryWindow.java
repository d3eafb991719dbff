package org.gatereel.core.retry;

import java.util.Arrays;

/**
 * Counts the requests and the retries of one service over a sliding window.
 *
 * <p>The window is divided into slices, the newest of which is incomplete. Retries are counted over
 * up to one slice more than the window, requests over up to one slice less, so the bound holds for
 * every interval of the window's length.
 */
final class RetryWindow {
  private static final int SLICES = 20;

  private final long sliceMillis;
  private final int[] requests = new int[SLICES + 1];
  private final int[] retries = new int[SLICES + 1];
  private long newestSlice;

  RetryWindow(long windowMillis, long now) {
    sliceMillis = Math.max(1, windowMillis / SLICES);
    newestSlice = now / sliceMillis;
  }

  void recordRequest(long now) {
    requests[advanceTo(now)]++;
  }

  void recordRetry(long now) {
    retries[advanceTo(now)]++;
  }

  /** Returns whether one more retry stays within {@code ratio} x requests + {@code slack}. */
  boolean hasRoom(long now, double ratio, double slack) {
    int newest = advanceTo(now);
    int oldest = (newest + 1) % requests.length;
    int counted = Arrays.stream(requests).sum() - requests[oldest];
    return Arrays.stream(retries).sum() + 1 <= ratio * counted + slack;
  }

  /** Clears the slices between the last use and now; returns the index of the newest. */
  private int advanceTo(long now) {
    long slice = Math.max(newestSlice, now / sliceMillis);
    long steps = Math.min(slice - newestSlice, requests.length);
    for (long step = 1; step <= steps; step++) {
      int index = (int) ((newestSlice + step) % requests.length);
      requests[index] = 0;
      retries[index] = 0;
    }
    newestSlice = slice;
    return (int) (newestSlice % requests.length);
  }
}
