package org.gatereel.core.model;

/** The state of a host or target in the platform's list. */
public enum LifeState {
  LIVE,
  LEAVING
}
