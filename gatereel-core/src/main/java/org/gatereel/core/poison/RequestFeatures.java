package org.gatereel.core.poison;

import com.google.common.base.Supplier;
import com.google.common.base.Suppliers;
import com.google.common.hash.HashCode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.gatereel.core.model.AccountId;

/**
 * The features of one request that may be the cause when targets crash under it: its whole content,
 * and what other requests may share: its content with any other prompt, and each part of its prompt
 * but the last one.
 *
 * <p>Fingerprints are computed when they are first needed.
 */
public final class RequestFeatures {
  private final Supplier<Fingerprint> content;
  private final Supplier<List<Fingerprint>> parts;

  private RequestFeatures(Supplier<Fingerprint> content, Supplier<List<Fingerprint>> parts) {
    this.content = Suppliers.memoize(content);
    this.parts = Suppliers.memoize(parts);
  }

  /**
   * Describes a request.
   *
   * @param digest computes a digest of what the target receives, without the prompt that headers
   *     name
   * @param prompt the prompt that headers name; empty if none do
   * @param partNames the parts of the prompt that other requests may share, in order
   */
  public static RequestFeatures of(
      Optional<AccountId> account,
      Supplier<HashCode> digest,
      String prompt,
      List<String> partNames) {
    Supplier<HashCode> content = Suppliers.memoize(digest);
    return new RequestFeatures(
        () -> Fingerprint.of(account, content.get(), prompt),
        () -> shared(account, content, prompt, partNames));
  }

  private static List<Fingerprint> shared(
      Optional<AccountId> account,
      Supplier<HashCode> content,
      String prompt,
      List<String> partNames) {
    List<Fingerprint> shared = new ArrayList<>();
    if (!prompt.isEmpty()) {
      shared.add(Fingerprint.ofAnyPrompt(account, content.get()));
    }
    deepestFirst(partNames).forEach(name -> shared.add(Fingerprint.ofPart(name)));
    return shared;
  }

  private static List<String> deepestFirst(List<String> names) {
    List<String> reversed = new ArrayList<>(names);
    Collections.reverse(reversed);
    return reversed;
  }

  /** Returns the fingerprint of the whole request. */
  public Fingerprint content() {
    return content.get();
  }

  /** Returns the features that other requests may share, those that fewer share first. */
  public List<Fingerprint> parts() {
    return parts.get();
  }

  /** Returns all features, those that fewer requests share first. */
  public List<Fingerprint> all() {
    List<Fingerprint> all = new ArrayList<>();
    all.add(content());
    all.addAll(parts());
    return all;
  }
}
