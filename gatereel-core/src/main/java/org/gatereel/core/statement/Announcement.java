package org.gatereel.core.statement;

import java.util.Optional;

/**
 * One thing that an answer may say of its target.
 *
 * @param <T> what is said
 */
public sealed interface Announcement<T> {
  /** Nothing is said. */
  record None<T>() implements Announcement<T> {}

  /** Something is said. */
  record Announced<T>(T value) implements Announcement<T> {}

  /**
   * Something is said that cannot be read, so that nothing is known.
   *
   * @param text the beginning of it
   */
  record Unreadable<T>(String text) implements Announcement<T> {}

  /** Returns the statement of an answer that says nothing. */
  static <T> Announcement<T> none() {
    return new None<>();
  }

  /** Returns a statement of a number. */
  static Announcement<Double> number(double value) {
    return new Announced<>(value);
  }

  /** Returns what is said, if it can be read. */
  default Optional<T> announced() {
    return this instanceof Announced<T> said ? Optional.of(said.value()) : Optional.empty();
  }

  /** Returns the beginning of what is said, if it cannot be read. */
  default Optional<String> unreadable() {
    return this instanceof Unreadable<T> found ? Optional.of(found.text()) : Optional.empty();
  }
}
