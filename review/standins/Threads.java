package review;

import java.io.IOException;

/** Threads and times of the stand-ins. */
public final class Threads {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Work that ends when its connection breaks. */
  public interface Work {
    void run() throws IOException;
  }

  private Threads() {}

  public static Thread start(String name, Work work) {
    Thread thread = new Thread(() -> runQuietly(work), name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void runQuietly(Work work) {
    try {
      work.run();
    } catch (IOException e) {
      // The peer has left; what it received stands in the record.
    }
  }

  public static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the steady clock in milliseconds. */
  public static long nowMillis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }
}
