package org.gatereel.core.statement;

import java.util.Optional;

/**
 * One piece of information that a response may announce about its target.
 *
 * @param <T> the type of the information
 */
public sealed interface Announcement<T> {
  /** The response does not announce it. */
  record None<T>() implements Announcement<T> {}

  /** The response announces a valid value. */
  record Announced<T>(T value) implements Announcement<T> {}

  /**
   * The response announces a value that cannot be parsed.
   *
   * @param text the beginning of the value
   */
  record Unreadable<T>(String text) implements Announcement<T> {}

  static <T> Announcement<T> none() {
    return new None<>();
  }

  static Announcement<Double> number(double value) {
    return new Announced<>(value);
  }

  /** Returns the value, if there is a valid one. */
  default Optional<T> announced() {
    return this instanceof Announced<T> announcement
        ? Optional.of(announcement.value())
        : Optional.empty();
  }

  /** Returns the beginning of the value, if it cannot be parsed. */
  default Optional<String> unreadable() {
    return this instanceof Unreadable<T> announcement
        ? Optional.of(announcement.text())
        : Optional.empty();
  }
}
