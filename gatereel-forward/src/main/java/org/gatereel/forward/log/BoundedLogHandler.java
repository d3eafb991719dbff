package org.gatereel.forward.log;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Writes log records in a separate thread, so that logging never blocks.
 *
 * <p>Records are dropped and counted while the queue is full. The count is written with the next
 * records.
 */
public final class BoundedLogHandler extends Handler {
  private static final int MAX_QUEUED_RECORDS = 4_096;
  private static final long BATCH_DELAY_MILLIS = 50;
  private static final long CLOSE_TIMEOUT_MILLIS = 500;

  private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
  private final AtomicLong dropped = new AtomicLong();
  private final OutputStream output;
  private final long closeTimeoutMillis;
  private final Thread writer = new Thread(this::writeQueued, "log");
  private volatile boolean closed;

  public BoundedLogHandler(OutputStream output, String host) {
    this(output, host, CLOSE_TIMEOUT_MILLIS);
  }

  /**
   * Makes a handler.
   *
   * @param closeTimeoutMillis how long {@link #close} waits for queued records to be written
   */
  BoundedLogHandler(OutputStream output, String host, long closeTimeoutMillis) {
    this.output = output;
    this.closeTimeoutMillis = closeTimeoutMillis;
    setFormatter(new JsonLogFormatter(host));
    writer.setDaemon(true);
    writer.start();
  }

  /** Returns the number of dropped records. */
  public long dropped() {
    return dropped.get();
  }

  @Override
  public void publish(LogRecord record) {
    if (!queue.offer(record)) {
      dropped.incrementAndGet();
    }
  }

  @Override
  public void flush() {}

  private void writeQueued() {
    long reportedDrops = 0;
    try {
      while (!closed || !queue.isEmpty()) {
        List<LogRecord> batch = nextBatch();
        StringBuilder text = new StringBuilder();
        for (LogRecord record : batch) {
          text.append(getFormatter().format(record));
        }
        long totalDrops = dropped.get();
        if (totalDrops > reportedDrops) {
          text.append("{\"name\":\"LOG_DROPPED\",\"lines\":").append(totalDrops).append("}\n");
          reportedDrops = totalDrops;
        }
        output.write(text.toString().getBytes(StandardCharsets.UTF_8));
        output.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The log output is closed, so the failure cannot be logged.
      throw new UncheckedIOException(e);
    }
  }

  /** Waits for a record, then collects others for a short time to write them together. */
  private List<LogRecord> nextBatch() throws InterruptedException {
    List<LogRecord> batch = new ArrayList<>();
    LogRecord first = queue.poll(BATCH_DELAY_MILLIS * 10, TimeUnit.MILLISECONDS);
    if (first != null) {
      batch.add(first);
      if (!closed) {
        TimeUnit.MILLISECONDS.sleep(BATCH_DELAY_MILLIS);
      }
      queue.drainTo(batch);
    }
    return batch;
  }

  @Override
  public void close() {
    closed = true;
    try {
      writer.join(closeTimeoutMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
