package org.gatereel.core.rollout;

import java.util.List;
import java.util.Set;
import org.gatereel.core.target.TargetState;

/** Which versions of targets a request may go to. */
public record VersionRule(Kind kind, Set<String> versions) {
  /** Any version will do. */
  public static final VersionRule ANY = new VersionRule(Kind.ANY, Set.of());

  /** How versions are named. */
  public enum Kind {
    /** All may be used. */
    ANY {
      @Override
      boolean admits(boolean named) {
        return true;
      }
    },
    /** Only those named. */
    ONLY {
      @Override
      boolean admits(boolean named) {
        return named;
      }
    },
    /** All but those named. */
    EXCEPT {
      @Override
      boolean admits(boolean named) {
        return !named;
      }
    },
    /** Those named as long as there are any, else others. */
    PREFER {
      @Override
      boolean admits(boolean named) {
        return true;
      }
    };

    /** Returns whether a version may be used that is {@code named} or not. */
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

  /** Returns whether a target may be used, whichever others there are. */
  public boolean admits(TargetState target) {
    return kind.admits(names(target));
  }

  private boolean names(TargetState target) {
    return versions.contains(target.description().version());
  }

  /** Returns the targets to choose from, out of those of a service. */
  public List<TargetState> among(List<TargetState> targets) {
    if (kind == Kind.ANY) {
      return targets;
    }
    boolean preferred = kind == Kind.PREFER && targets.stream().anyMatch(this::names);
    return targets.stream().filter(preferred ? this::names : this::admits).toList();
  }
}
