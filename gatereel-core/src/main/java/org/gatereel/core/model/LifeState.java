package org.gatereel.core.model;

/** What the platform's lagging list says of a host or target. */
public enum LifeState {
  LIVE,
  LEAVING
}
