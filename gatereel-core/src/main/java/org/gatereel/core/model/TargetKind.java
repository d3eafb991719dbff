package org.gatereel.core.model;

/** The kinds of target. */
public enum TargetKind {
  ENGINE,
  PLAIN_SERVICE
}
