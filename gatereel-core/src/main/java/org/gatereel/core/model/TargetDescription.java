package org.gatereel.core.model;

/**
 * One target as the platform's list describes it.
 *
 * @param slots how many requests the target works on at the same time
 * @param version the version of its software; {@link #UNVERSIONED} where targets do not tell
 */
public record TargetDescription(
    TargetId id,
    TargetKind kind,
    ServiceName service,
    DataCentre dataCentre,
    Address address,
    int slots,
    LifeState state,
    String version) {
  /** The version of a target that does not tell one. */
  public static final String UNVERSIONED = "";

  /** Describes a target that tells no version. */
  public TargetDescription(
      TargetId id,
      TargetKind kind,
      ServiceName service,
      DataCentre dataCentre,
      Address address,
      int slots,
      LifeState state) {
    this(id, kind, service, dataCentre, address, slots, state, UNVERSIONED);
  }
}
