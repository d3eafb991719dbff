package org.gatereel.core.model;

/**
 * One target as the platform's list describes it.
 *
 * @param slots how many requests the target works on at the same time
 */
public record TargetDescription(
    TargetId id,
    TargetKind kind,
    ServiceName service,
    DataCentre dataCentre,
    Address address,
    int slots,
    LifeState state) {}
