package org.gatereel.core.internal;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;

/** Rendezvous hashing: hosts with the same members compute the same ranking for a key. */
public final class Rendezvous {
  private static final HashFunction SIP = Hashing.sipHash24();

  private Rendezvous() {}

  /** Returns the members by descending score for {@code key}. */
  public static <T> List<T> rank(String key, Collection<T> members, Function<T, String> name) {
    Comparator<T> byScore = Comparator.comparingLong(member -> score(key, name.apply(member)));
    return members.stream().sorted(byScore.reversed().thenComparing(name)).toList();
  }

  /** Returns the score of one member for a key. */
  public static long score(String key, String member) {
    return SIP.newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putChar('|')
        .putString(member, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
