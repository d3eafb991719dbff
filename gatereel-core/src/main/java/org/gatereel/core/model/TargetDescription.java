package org.gatereel.core.model;

/**
 * A target as described by the platform's list.
 *
 * @param slots the number of requests that the target executes concurrently
 * @param version the version of its software; {@link #UNVERSIONED} if unknown
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
  /** The version of a target that does not report one. */
  public static final String UNVERSIONED = "";

  /** Makes the description of a target without a version. */
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
