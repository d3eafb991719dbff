package org.gatereel.standins.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.gatereel.core.generation.PrefixDigest;
import org.gatereel.standins.ChainedTokens;

/**
 * A continuously batching engine: every step generates one token for each stream in the batch.
 *
 * <p>One thread runs the steps; requests wait by priority until a slot in the batch is free. A
 * stream first computes the tokens of its prompt that the prefix cache lacks.
 */
final class EngineBatch implements AutoCloseable {
  private static final long LOAD_SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long FROZEN_MILLIS = 5;
  private static final int BYTES_OF_KV_PER_TOKEN = 2_048;
  private static final Pattern WORDS = Pattern.compile("\\s+");

  private final Settings settings;
  private final PrefixCache cache;
  private final List<Stream> batch = new ArrayList<>();
  private final PriorityQueue<Stream> waiting =
      new PriorityQueue<>(
          Comparator.comparingInt((Stream stream) -> stream.priority)
              .thenComparingLong(stream -> stream.arrival));
  private final Thread thread = new Thread(this::run, "batch");
  private long arrivals;
  private long promptTokensComputed;
  private long tokensGenerated;
  private long kvBytesMoved;
  private long started;
  private volatile boolean frozen;
  private volatile double slowFactor = 1;
  private volatile boolean closed;
  private volatile int sampledLoad;
  private long sampledAt;

  /** How an engine works. */
  record Settings(String name, int slots, long stepMicros, long prefillMicrosPerToken) {}

  /** Counts of the work that an engine has done. */
  record Counters(
      long promptTokensComputed,
      long tokensGenerated,
      long kvBytesMoved,
      long started,
      int inBatch,
      int waiting) {}

  /** Receives the tokens of a stream. */
  interface Output {
    /** Returns whether the reader is still connected. */
    boolean token(int offset, String token, int load);

    void end(int length);

    /** Closes the connection without sending an end event. */
    void broken();
  }

  /** One request in the batch or waiting for it. */
  static final class Stream {
    private final String request;
    private final int attempt;
    private final int priority;
    private final int maximumTokens;
    private final List<String> context;
    private final Output output;
    private int offset;
    private long chain;
    private long arrival;
    private long readyAt;
    private volatile boolean cancelled;

    Stream(
        String request,
        int attempt,
        int priority,
        int maximumTokens,
        String prompt,
        List<String> tokens,
        Output output) {
      this.request = request;
      this.attempt = attempt;
      this.priority = priority;
      this.maximumTokens = maximumTokens;
      this.context = context(prompt, tokens);
      this.output = output;
      this.offset = tokens.size();
      this.chain = ChainedTokens.after(prompt, tokens);
    }
  }

  EngineBatch(Settings settings, PrefixCache cache) {
    this.settings = settings;
    this.cache = cache;
    thread.setDaemon(true);
    thread.start();
  }

  synchronized void add(Stream stream) {
    stream.arrival = arrivals++;
    waiting.add(stream);
    started++;
    notifyAll();
  }

  synchronized void cancel(String request, int attempt) {
    waiting.removeIf(stream -> matches(stream, request, attempt));
    batch.stream()
        .filter(stream -> matches(stream, request, attempt))
        .forEach(stream -> stream.cancelled = true);
  }

  private static boolean matches(Stream stream, String request, int attempt) {
    return stream.request.equals(request) && stream.attempt == attempt;
  }

  /** Puts tokens into the cache as if they had been imported; returns the bytes that moved. */
  synchronized long importCache(String prompt, List<String> tokens) {
    List<String> context = context(prompt, tokens);
    cache.store(context);
    return moved(context.size());
  }

  /** Exports what is cached of a prefix; returns the bytes that moved. */
  synchronized long exportCache(String prompt, List<String> tokens) {
    return moved(cache.cachedTokens(context(prompt, tokens)));
  }

  private long moved(int tokens) {
    long bytes = (long) tokens * BYTES_OF_KV_PER_TOKEN;
    kvBytesMoved += bytes;
    return bytes;
  }

  private static List<String> context(String prompt, List<String> tokens) {
    List<String> context = new ArrayList<>(Arrays.asList(WORDS.split(prompt)));
    context.addAll(tokens);
    return context;
  }

  void freeze(boolean on) {
    frozen = on;
  }

  void slowDown(double factor) {
    slowFactor = factor;
  }

  /** Breaks the connection of every stream, as if the process had been restarted. */
  synchronized void reset() {
    batch.forEach(stream -> stream.output.broken());
    batch.clear();
    waiting.forEach(stream -> stream.output.broken());
    waiting.clear();
  }

  /** Returns the load as last sampled. */
  int load() {
    return sampledLoad;
  }

  /** Returns whether more requests wait than the batch holds. */
  synchronized boolean isFull() {
    return waiting.size() >= settings.slots();
  }

  synchronized Counters counters() {
    return new Counters(
        promptTokensComputed, tokensGenerated, kvBytesMoved, started, batch.size(), waiting.size());
  }

  private void run() {
    while (!closed) {
      try {
        if (frozen) {
          TimeUnit.MILLISECONDS.sleep(FROZEN_MILLIS);
          continue;
        }
        waitForWork();
        long begin = System.nanoTime();
        step(begin);
        long stepNanos = (long) (TimeUnit.MICROSECONDS.toNanos(settings.stepMicros()) * slowFactor);
        TimeUnit.NANOSECONDS.sleep(stepNanos - (System.nanoTime() - begin));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void waitForWork() throws InterruptedException {
    while (batch.isEmpty() && waiting.isEmpty()) {
      sampledLoad = 0;
      wait();
    }
  }

  private synchronized void step(long now) {
    while (batch.size() < settings.slots() && !waiting.isEmpty()) {
      admit(waiting.poll(), now);
    }
    if (now - sampledAt >= LOAD_SAMPLE_NANOS) {
      sampledAt = now;
      sampledLoad = batch.size() + waiting.size();
    }
    for (Iterator<Stream> streams = batch.iterator(); streams.hasNext(); ) {
      Stream stream = streams.next();
      boolean goesOn = !stream.cancelled && (now < stream.readyAt || emit(stream));
      if (!goesOn) {
        cache.store(stream.context);
        streams.remove();
      }
    }
  }

  private void admit(Stream stream, long now) {
    int missing = stream.context.size() - cache.cachedTokens(stream.context);
    promptTokensComputed += missing;
    cache.store(stream.context);
    long prefillMicros = (long) (missing * settings.prefillMicrosPerToken() * slowFactor);
    stream.readyAt = now + TimeUnit.MICROSECONDS.toNanos(prefillMicros);
    batch.add(stream);
  }

  private boolean emit(Stream stream) {
    if (stream.offset >= stream.maximumTokens) {
      stream.output.end(stream.offset);
      return false;
    }
    String token = ChainedTokens.next(settings.name(), stream.chain);
    boolean read = stream.output.token(stream.offset, token, sampledLoad);
    stream.chain = PrefixDigest.extend(stream.chain, token);
    stream.context.add(token);
    stream.offset++;
    tokensGenerated++;
    if (stream.offset >= stream.maximumTokens) {
      stream.output.end(stream.offset);
      return false;
    }
    return read;
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
