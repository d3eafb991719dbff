package org.gatereel.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.generation.PrefixDigest;

/** The engine's cache of prompt prefixes, in blocks; evicts the least recently used block. */
final class PrefixCache {
  private static final int BLOCK_TOKENS = 16;

  private final int maxBlocks;
  private final CacheEvents events;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

  PrefixCache(int maxBlocks, CacheEvents events) {
    this.maxBlocks = maxBlocks;
    this.events = events;
  }

  /** Returns how many of the first tokens are cached. */
  int cachedTokens(List<String> tokens) {
    int cached = 0;
    long digest = PrefixDigest.EMPTY;
    for (int index = 0; index < tokens.size(); index++) {
      digest = PrefixDigest.extend(digest, tokens.get(index));
      if ((index + 1) % BLOCK_TOKENS == 0) {
        if (blocks.get(digest) == null) {
          return cached;
        }
        cached = index + 1;
      }
    }
    return cached;
  }

  /** Puts all whole blocks of some tokens into the cache. */
  void store(List<String> tokens) {
    long digest = PrefixDigest.EMPTY;
    for (int index = 0; index < tokens.size(); index++) {
      digest = PrefixDigest.extend(digest, tokens.get(index));
      if ((index + 1) % BLOCK_TOKENS == 0 && blocks.put(digest, true) == null) {
        events.added(digest);
      }
    }
    evict();
  }

  private void evict() {
    Iterator<Long> oldest = blocks.keySet().iterator();
    while (blocks.size() > maxBlocks) {
      events.evicted(oldest.next());
      oldest.remove();
    }
  }
}
