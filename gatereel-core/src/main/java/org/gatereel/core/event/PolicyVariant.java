package org.gatereel.core.event;

/** The two placement policies of a service that are compared with each other. */
public enum PolicyVariant {
  FIRST,
  SECOND
}
