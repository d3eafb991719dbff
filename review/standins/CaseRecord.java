package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. */
public final class CaseRecord implements AutoCloseable {
  private final PrintWriter file;
  private final long startedAt = Threads.nowMillis();

  public CaseRecord(Path path) throws IOException {
    file = new PrintWriter(path.toFile(), "UTF-8");
  }

  public synchronized void write(String who, String what) {
    file.println((Threads.nowMillis() - startedAt) + " " + who + ": " + what);
    file.flush();
  }

  public synchronized void say(String who, String what) {
    write(who, what);
    System.out.println((Threads.nowMillis() - startedAt) + " " + who + ": " + what);
  }

  /** Returns a time of the steady clock as it stands in the record. */
  public long inRecord(long millis) {
    return millis - startedAt;
  }

  @Override
  public void close() {
    file.close();
  }
}
