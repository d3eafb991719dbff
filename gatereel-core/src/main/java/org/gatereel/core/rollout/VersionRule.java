package org.gatereel.core.rollout;

import java.util.List;
import java.util.Set;
import org.gatereel.core.target.TargetState;

/** Which versions of targets a request may be sent to. */
public record VersionRule(Kind kind, Set<String> versions) {
  /** Allows all versions. */
  public static final VersionRule ANY = new VersionRule(Kind.ANY, Set.of());

  /** How the named versions are used. */
  public enum Kind {
    /** All versions are allowed. */
    ANY {
      @Override
      boolean admits(boolean named) {
        return true;
      }
    },
    /** Only the named versions are allowed. */
    ONLY {
      @Override
      boolean admits(boolean named) {
        return named;
      }
    },
    /** All but the named versions are allowed. */
    EXCEPT {
      @Override
      boolean admits(boolean named) {
        return !named;
      }
    },
    /** Others than the named versions are used only if there are no targets of these. */
    PREFER {
      @Override
      boolean admits(boolean named) {
        return true;
      }
    };

    /** Returns whether a version is allowed, depending on whether it is {@code named}. */
    abstract boolean admits(boolean named);
  }

  public VersionRule {
    versions = Set.copyOf(versions);
  }

  static VersionRule only(String version) {
    return new VersionRule(Kind.ONLY, Set.of(version));
  }

  static VersionRule prefer(String version) {
    return new VersionRule(Kind.PREFER, Set.of(version));
  }

  static VersionRule except(Set<String> versions) {
    return versions.isEmpty() ? ANY : new VersionRule(Kind.EXCEPT, versions);
  }

  /** Returns whether a target is allowed, regardless of other targets. */
  public boolean admits(TargetState target) {
    return kind.admits(names(target));
  }

  private boolean names(TargetState target) {
    return versions.contains(target.description().version());
  }

  /** Returns those of a service's targets from which one may be selected. */
  public List<TargetState> among(List<TargetState> targets) {
    if (kind == Kind.ANY) {
      return targets;
    }
    boolean preferred = kind == Kind.PREFER && targets.stream().anyMatch(this::names);
    return targets.stream().filter(preferred ? this::names : this::admits).toList();
  }
}
