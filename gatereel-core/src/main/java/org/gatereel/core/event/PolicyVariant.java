package org.gatereel.core.event;

/** Which of a service's two policies a request is served under. */
public enum PolicyVariant {
  FIRST,
  SECOND
}
